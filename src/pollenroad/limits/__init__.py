"""Rate and concurrency limits per customer, enforced by leases that owner daemons grant.

The input is documents, calls and lease messages; the output is grants, refusals and lease requests.
"""
