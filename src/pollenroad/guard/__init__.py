"""The guard's side of a call: the only door to the server on its VM. No I/O.

Attempts, answers and health of the server go in; hand-overs, refusals and load reports leave.
"""
