"""TCP options of the connections of a daemon."""

import socket

UNACKNOWLEDGED_MS = 1_500
"""Time for which sent data may stay unacknowledged before a connection is closed, in milliseconds:
half of the time in which the users expect a network failure to be detected."""

KEEPALIVE_S = 1
"""Idle time after which the kernel sends keepalive probes, and time between probes, in seconds."""

KEEPALIVE_PROBES = 2
"""Number of unanswered keepalive probes after which a connection is closed."""


def set_no_delay(sock) -> None:
    """Disable Nagle's algorithm: send small segments without waiting for an acknowledgement."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def await_slow_reader(sock, is_awaited: bool) -> None:
    """Keep a connection open while its peer reads nothing, or no longer do so.

    To the system, a peer that lives but does not read for `UNACKNOWLEDGED_MS` is a lost one.
    """
    timeout_ms = 0 if is_awaited else UNACKNOWLEDGED_MS
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def set_liveness_options(sock) -> None:
    """Disable Nagle's algorithm, and close a connection whose peer does not respond.

    Otherwise a connection to a VM that lost power stays open for minutes, and messages to the next
    daemon on that VM are queued on the dead connection.
    """
    set_no_delay(sock)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
