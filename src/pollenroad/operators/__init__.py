"""What operators look at: the state of many daemons, causes, traces, reports and the demo.

Pages, log lines and trace files of daemons go in; answers for a person leave.
"""
