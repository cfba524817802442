"""Transparent HTTP proxy: routes requests to endpoints that register themselves.

A caller's request enters at the entry on the caller's VM and is forwarded, unchanged, by the guard
beside the selected endpoint. The roles are those of the whole package. Unlike the calls of
`pollenroad.entry`, a request is addressed by host and path instead of a service key, and endpoints
are discovered by leases instead of documents.
"""
