"""Limits per customer, by leases that owner daemons hand out. No I/O.

Documents, calls and lease messages go in; grants, refusals and requests for leases leave.
"""
