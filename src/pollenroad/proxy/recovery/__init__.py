"""Recovery of the HTTP proxy after a power loss: cold servers, and requests that cannot complete.

Enabled by the same condition as `pollenroad.proxy.admission`; see docs/design/recovery.md.
"""
