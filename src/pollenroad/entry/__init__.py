"""The entry's side of a call: which endpoint, which retry, which hedge. No I/O.

Calls, answers and load reports of guards go in; attempts for peers and answers to callers leave.
"""
