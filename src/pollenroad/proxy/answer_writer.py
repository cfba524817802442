"""Writing of answers to one caller, who may read them slowly or not at all."""

import array
import fcntl
import socket
import struct
import termios
import time
from collections.abc import Iterable

from gevent.socket import wait_write

from pollenroad.proxy.memory.slow_callers import ReadingProgress

SEND_BUFFER_BYTES = 262_144
"""Send buffer of a caller's connection, in bytes. The system would give one of up to 4 MiB to each,
which counts towards the memory of the VM."""

WRITE_BYTES = 262_144
"""Most bytes that are passed to the system at once."""

PROGRESS_POLL_S = 1.0
"""Time between two checks whether a caller reads, in seconds."""


class StalledError(OSError):
    """A caller took too little of its answers."""


def limit_send_buffer(sock) -> None:
    """Limit what the system holds for a caller that does not read."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def drop_unsent(sock) -> None:
    """Make the close of a connection drop what the system has not sent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def write_parts(sock, parts: Iterable[bytes]) -> None:
    """Write the parts of an answer, as long as the caller takes enough of it.

    Raises:
        StalledError: If it does not.
    """
    progress, written_bytes = None, 0
    for part in parts:
        rest = memoryview(part)
        while rest:
            try:
                count = sock._sock.send(rest[:WRITE_BYTES], socket.MSG_DONTWAIT)
            except BlockingIOError:
                progress = progress or ReadingProgress(time.monotonic())
                _await_writable(sock, progress, written_bytes)
                continue
            rest = rest[count:]
            written_bytes += count


def _await_writable(sock, progress: ReadingProgress, written_bytes: int) -> None:
    try:
        wait_write(sock.fileno(), PROGRESS_POLL_S)
    except TimeoutError:
        taken_bytes = written_bytes - _unacknowledged_bytes(sock)
        if progress.is_stalled(taken_bytes, time.monotonic()):
            raise StalledError(f"stalled after {taken_bytes} bytes") from None


def _unacknowledged_bytes(sock) -> int:
    """Return how many written bytes the caller's system has not acknowledged.

    A connection becomes writable only when a third of the send buffer is free, which at a low rate
    takes longer than the time limit.
    """
    count = array.array("i", [0])
    fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    return count[0]
