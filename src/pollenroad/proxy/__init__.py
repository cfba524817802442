"""Transparent HTTP: requests go by declared routes to endpoints that register themselves.

Callers' requests enter at the entry of their own VM and leave, unchanged, at the guard beside the
endpoint that was chosen. The roles and their words are those of the package; what differs from the
calls of `pollenroad.entry` is how a request is named (host and path in place of a service key) and
how endpoints become known (leases in place of documents).
"""
