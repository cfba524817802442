"""One link between two daemons: a TCP connection that carries frames, with tasks of its own."""

import socket
import time
from collections import deque
from collections.abc import Callable

import gevent
from gevent.event import Event as Flag

from pollenroad.exceptions import NoSpaceError, PeerError
from pollenroad.logs import log
from pollenroad.messages import Hello, PeerMessage
from pollenroad.shell.control_cost import CostMeter
from pollenroad.shell.frames import (
    COMPRESSED_PROTOCOL,
    LENGTH_PREFIX_BYTES,
    LONG_FRAME_BYTES,
    LONG_FRAMES_PROTOCOL,
    MAX_LONG_HEAD_BYTES,
    decode_message,
    encode_frame,
    read_body,
)
from pollenroad.shell.link_memory import LinkGrant, LinkMemory
from pollenroad.shell.tasks import TurnCounter

MAX_OUTBOX_BYTES = 33_554_432
"""Number of bytes queued for one peer above which its link is closed."""

MAX_UNRESERVED_BYTES = LONG_FRAME_BYTES + MAX_LONG_HEAD_BYTES
"""Longest frame that is read without space for it, in bytes, from a peer with long links."""

MAX_NONBLOCKING_BYTES = 65_536
"""Longest frame that is written without a task switch, in bytes."""


class PeerLink:
    """One open connection, with a queue of outgoing frames, a writer task and a reader task."""

    def __init__(
        self,
        sock,
        stream,
        hello: Hello,
        on_closed: Callable,
        meter: CostMeter,
        memory: LinkMemory | None = None,
        is_dialled: bool = False,
    ):
        self.peer = hello.address
        self.protocol = hello.protocol
        self.end_error: OSError | None = None
        """Error that ended the link; None if it was closed."""
        self._has_long_links = hello.protocol >= LONG_FRAMES_PROTOCOL
        self._uses_compression = hello.protocol >= COMPRESSED_PROTOCOL
        self._meter = meter
        self._memory = memory
        self._is_dialled = is_dialled
        self._grant: LinkGrant | None = None
        """Space for the long frame that is being read."""
        self._sock = sock
        self._stream = stream
        self._on_closed = on_closed
        self._outbox = deque()
        self._outbox_bytes = 0
        self._wake = Flag()
        self._closed = False
        self._writing = False
        self._unwritten = b""
        """Rest of a frame that the socket has accepted in part."""
        self._writer = gevent.spawn(self._write)

    def send(self, message: PeerMessage) -> None:
        """Queue one message.

        Raises:
            PeerError: If it cannot be encoded; the link is not affected.
        """
        if self._closed:
            self._on_closed(self, [message])
            return
        frame = encode_frame(message, self._uses_compression)
        self._meter.sent(message, len(frame))
        if not self._outbox and self._send_nonblocking(frame):
            return
        self._outbox.append((message, frame))
        self._count_queued(len(frame))
        if self._outbox_bytes > MAX_OUTBOX_BYTES:
            self.close()
        self._wake.set()

    def _count_queued(self, count: int) -> None:
        self._outbox_bytes += count
        if self._memory is not None:
            self._memory.queued(count)

    def _send_nonblocking(self, frame: bytes) -> bool:
        """Send a frame without a task switch; return False if nothing was sent.

        The rest of a frame that the socket accepts only in part is left to the writer task.
        """
        if self._writing or len(frame) > MAX_NONBLOCKING_BYTES:
            return False
        try:
            sent = self._sock._sock.send(frame, socket.MSG_DONTWAIT)
        except OSError:
            return False
        if sent < len(frame):
            self._unwritten = frame[sent:]
            self._writing = True
            self._wake.set()
        return True

    def _write(self) -> None:
        try:
            while not self._closed:
                if self._unwritten:
                    self._sock.sendall(self._unwritten)
                    self._unwritten = b""
                    self._writing = False
                elif self._outbox:
                    self._write_next()
                else:
                    self._wake.clear()
                    self._wake.wait()
        except OSError as error:
            self.end_error = error
        finally:
            self.close()

    def _write_next(self) -> None:
        _, frame = self._outbox.popleft()
        self._count_queued(-len(frame))
        self._writing = True
        self._sock.sendall(frame)
        self._writing = False

    def read(self, on_message: Callable[[PeerMessage, LinkGrant | None], None]) -> None:
        """Pass each received message to `on_message` until the link ends."""
        try:
            turns = TurnCounter()
            while not self._closed and self._read_next(on_message):
                turns.step()
        except PeerError as error:
            log("peer_refused", peer=self.peer, reason=str(error))
        except OSError as error:
            self.end_error = error
        finally:
            self.close()

    def _read_next(self, on_message: Callable) -> bool:
        try:
            body = read_body(
                self._stream, reserve=self._reserve, reserve_unpacked=self._reserve_unpacked
            )
            if body is None:
                return False
            message, grant = self._decode(body), self._grant
            del body
        finally:
            self._grant = None
        on_message(message, grant)
        return True

    def _reserve(self, count: int) -> None:
        """Wait for space for a long frame; only daemons of earlier builds send bodies in them.

        All other frames of the link wait meanwhile, so that none is kept back by an update of the
        directory, or by a body of `LONG_FRAME_BYTES` with its head.
        """
        if self._memory is None or (self._has_long_links and count <= MAX_UNRESERVED_BYTES):
            return
        try:
            self._grant = self._memory.reserve_frame(not self._is_dialled, count)
        except NoSpaceError as error:
            raise PeerError(str(error)) from error

    def _reserve_unpacked(self, count: int) -> None:
        """Wait for space for a frame of unknown length; see `_reserve`."""
        if not self._has_long_links:
            self._reserve(count)

    def _decode(self, body: bytes) -> PeerMessage:
        start = time.thread_time()
        message = decode_message(body)
        self._meter.received(message, len(body) + LENGTH_PREFIX_BYTES, time.thread_time() - start)
        return message

    def close(self) -> None:
        """Close the link, and report unsent messages; a second call has no effect."""
        if self._closed:
            return
        self._closed = True
        self._wake.set()
        self._sock.close()
        unsent = [message for message, _ in self._outbox]
        self._outbox.clear()
        self._count_queued(-self._outbox_bytes)
        self._on_closed(self, unsent)
