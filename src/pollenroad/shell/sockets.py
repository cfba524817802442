"""Options of TCP sockets that every connection of a daemon has."""

import socket

UNACKNOWLEDGED_MS = 1_500
"""Time for which sent bytes may stay unacknowledged before a connection is closed, in milliseconds:
half of the time in which the users expect a cut to be noticed."""

KEEPALIVE_S = 1
"""Silence after which the kernel probes a connection, and time between probes, in seconds."""

KEEPALIVE_PROBES = 2
"""Unanswered probes after which a connection is closed."""


def set_no_delay(sock) -> None:
    """Send small segments at once instead of waiting for the acknowledgement of earlier ones."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def set_liveness_options(sock) -> None:
    """Send small segments at once, and close a connection whose other end has gone silent.

    Without the latter a connection to a VM that lost its power stays open for minutes, and what is
    sent to the VM's next daemon waits on it.
    """
    set_no_delay(sock)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
