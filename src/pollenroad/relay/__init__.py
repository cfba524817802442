"""Configuration and membership between daemons, and when the platform is read. No I/O.

Documents, lists of VMs and peers' messages go in; accepted documents and messages to peers leave.
"""
