"""Tools for operators: status of many daemons, causes of failures, trace replay, reports, the demo.

Their input is what daemons serve and write: operator pages, log lines and trace files.
"""
