"""Load shedding of the HTTP proxy by rank: which requests get scarce retries and slots.

Enabled only while the configuration in force has a route that must not run twice and has the
highest priority; see docs/design/shedding.md.
"""
