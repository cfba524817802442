"""Links for long frames: a second connection between two daemons, opened on first use.

A frame whose body does not fit into the memory of the receiver stays unread, and the sender waits.
On a link of its own it keeps back no small frame. Attempts and answers never wait behind each other
in one direction of a link: a daemon opens one link to send attempts, over which their answers come
back, and one to send answers to a daemon that has opened none.
"""

import socket
import time
from collections import deque
from collections.abc import Callable

import gevent
import msgspec
from gevent.event import Event as Flag

from pollenroad.exceptions import NoSpaceError, PeerError
from pollenroad.logs import log
from pollenroad.messages import MAX_REMAINING_MS, Attempt, AttemptAnswer, PeerMessage
from pollenroad.shell.control_cost import CostMeter
from pollenroad.shell.frames import (
    body_of,
    encode_long_head,
    read_long_body,
    read_long_head,
    skip_long_body,
)
from pollenroad.shell.link_memory import LinkMemory
from pollenroad.verdicts import Verdict

ATTEMPTS, ANSWERS = "attempts", "answers"
"""What a daemon sends on a link that it opened."""

BUFFER_BYTES = 262_144
"""Send and receive buffer of a link, in bytes: they count towards the memory of the VM, and the
system would make them up to 6 MiB long."""

UNREAD_MS = 13_000
"""Time for which a link may stay unread before the system closes it, in milliseconds: a response
waits up to 10 s for space, and a daemon that is paused must not hold that of its peers for longer.
That a VM does not respond is detected on the ordinary link to it, whose loss ends this one too."""

BODY_TIMEOUT_S = 30.0
"""Time in which the body of a frame must arrive once it has space, in seconds: 9 MiB take 15 s at
5 Mbit/s. A peer that is paused in between would otherwise hold the space."""

WAIT_SHARE = 0.5
"""Time for which an attempt may wait in the queue, as a share of what it has until its deadline. It
has not run then, and can still be sent elsewhere; at its deadline that would not be known."""

NO_MEMORY = "no-memory"
"""Reason code of an attempt or a response for which there was no space in time."""


def refusal(message: Attempt | AttemptAnswer, retry_after_s: float) -> AttemptAnswer:
    """Return the outcome of an attempt whose frame was dropped for want of space.

    An attempt did not run. Of an answer, only its response is lost, so that the outcome is unknown.
    """
    if isinstance(message, Attempt):
        not_run = Verdict.NOT_RUN.value
        return AttemptAnswer(
            message.attempt_id, not_run, NO_MEMORY, retry_after_ms=retry_after_s * 1000
        )
    return AttemptAnswer(message.attempt_id, Verdict.UNKNOWN.value, NO_MEMORY, load=message.load)


def _aged(message: PeerMessage, queued_ms: float) -> PeerMessage:
    """Return a message as it would be sent now, after a time in the queue."""
    if not isinstance(message, Attempt):
        return message
    left_ms = max(-MAX_REMAINING_MS, message.remaining_ms - queued_ms)
    sent_ms = message.sent_ms and message.sent_ms + queued_ms
    return msgspec.structs.replace(message, remaining_ms=left_ms, sent_ms=sent_ms)


class LongLink:
    """One connection for long frames, with a writer task and a reader task."""

    def __init__(
        self, sock, stream, peer: str, on_closed: Callable, meter: CostMeter, memory: LinkMemory
    ):
        self.peer = peer
        self.end_error: OSError | None = None
        self._sock = sock
        self._stream = stream
        self._on_closed = on_closed
        self._meter = meter
        self._memory = memory
        self.on_expired: Callable[[Attempt], None] = lambda attempt: None
        """Called with an attempt that was not written in half of its time."""
        self._outbox: deque[tuple[PeerMessage, float]] = deque()
        """Messages, and when they were queued, in monotonic seconds."""
        self._writing: PeerMessage | None = None
        self._wake = Flag()
        self._closed = False
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNREAD_MS)
        gevent.spawn(self._write)

    def send(self, message: Attempt | AttemptAnswer) -> None:
        """Queue one message, whose body is not copied.

        Raises:
            PeerError: If it cannot be encoded; the link is not affected.
        """
        size = len(encode_long_head(message)) + len(body_of(message))
        self._meter.sent(message, size)
        self._outbox.append((message, time.monotonic()))
        self._wake.set()
        if isinstance(message, Attempt):
            wait_s = max(0.0, message.remaining_ms) / 1000 * WAIT_SHARE
            gevent.spawn_later(wait_s, self._expire, message.attempt_id)

    def _expire(self, attempt_id: str) -> None:
        expired = [each for each, _ in self._outbox if each.attempt_id == attempt_id]
        self.discard(attempt_id)
        for attempt in expired:
            self.on_expired(attempt)

    def discard(self, attempt_id: str) -> None:
        """Drop the queued messages of an attempt that is no longer needed."""
        kept = [pair for pair in self._outbox if pair[0].attempt_id != attempt_id]
        if len(kept) < len(self._outbox):
            self._outbox = deque(kept)

    def _write(self) -> None:
        try:
            while not self._closed:
                if self._outbox:
                    self._write_next()
                else:
                    self._wake.clear()
                    self._wake.wait()
        except OSError as error:
            self.end_error = error
        finally:
            self.close()

    def _write_next(self) -> None:
        self._writing, queued_at = self._outbox.popleft()
        queued_ms = (time.monotonic() - queued_at) * 1000
        self._sock.sendall(encode_long_head(_aged(self._writing, queued_ms)))
        self._sock.sendall(body_of(self._writing))
        self._writing = None

    def read(self, on_message: Callable, on_refused: Callable) -> None:
        """Pass each message to `on_message`, or to `on_refused` with the time until a retry."""
        try:
            while not self._closed and self._read_next(on_message, on_refused):
                gevent.sleep(0)
        except PeerError as error:
            log("peer_refused", peer=self.peer, reason=str(error))
        except OSError as error:
            self.end_error = error
        finally:
            self.close()

    def _read_next(self, on_message: Callable, on_refused: Callable) -> bool:
        head = read_long_head(self._stream)
        if head is None:
            return False
        message, count = head
        try:
            grant = self._memory.reserve(message, count)
        except NoSpaceError as error:
            on_refused(message, error.retry_after_s)
            return skip_long_body(self._stream, count)
        try:
            with gevent.Timeout(BODY_TIMEOUT_S, PeerError("a body did not arrive in time")):
                message = read_long_body(self._stream, message, count)
            if message is None:
                return False
            self._meter.received(message, count, 0.0)
            self._memory.received(message, grant)
            grant = None
        finally:
            if grant is not None:
                grant.release()
        on_message(message)
        return True

    def close(self) -> None:
        """Close the link, and report messages of which no whole frame was sent."""
        if self._closed:
            return
        self._closed = True
        self._wake.set()
        try:
            self._sock._sock.shutdown(socket.SHUT_RDWR)  # The stream keeps the descriptor open.
        except OSError as error:
            self.end_error = self.end_error or error
        self._sock.close()
        unsent = [message for message, _ in self._outbox]
        if self._writing is not None:  # The peer handles only whole frames.
            unsent.append(self._writing)
        self._outbox.clear()
        self._writing = None
        self._on_closed(self, unsent)


class LongLinks:
    """All links for long frames of one daemon.

    Args:
        memory: Space for the messages.
        meter: Counts messages and bytes.
        connect: Opens a connection to a peer, given what is sent on it; returns the socket and its
            stream, or None if the peer does not accept long frames.
        send_on: Sends a message on a link, and handles one that cannot be encoded.
        send_ordinary: Sends a message on the ordinary link to a peer.
        deliver: Handles a message from a peer.
        post_unsent: Reports messages that were not sent.
    """

    def __init__(
        self,
        memory: LinkMemory,
        meter: CostMeter,
        connect: Callable,
        send_on: Callable[[LongLink, PeerMessage], None],
        send_ordinary: Callable[[str, PeerMessage], None],
        deliver: Callable[[str, PeerMessage], None],
        post_unsent: Callable[[list[PeerMessage]], None],
    ):
        self._memory = memory
        self._meter = meter
        self._connect = connect
        self._send_on = send_on
        self._send_ordinary = send_ordinary
        self._deliver = deliver
        self._post_unsent = post_unsent
        self._dialled_by_key: dict[tuple[str, str], LongLink] = {}
        self._accepted_by_key: dict[tuple[str, str], LongLink] = {}
        self._pending_by_key: dict[tuple[str, str], list[PeerMessage]] = {}

    def send(self, peer: str, message: Attempt | AttemptAnswer) -> None:
        """Send one message, without blocking."""
        key = (peer, ATTEMPTS if isinstance(message, Attempt) else ANSWERS)
        link = self._dialled_by_key.get(key)
        if link is None and key[1] == ANSWERS:
            link = self._accepted_by_key.get((peer, ATTEMPTS))
        if link is not None:
            self._send_on(link, message)
        elif key in self._pending_by_key:
            self._pending_by_key[key].append(message)
        else:
            self._pending_by_key[key] = [message]
            gevent.spawn(self._dial, *key)

    def discard(self, peer: str, attempt_id: str) -> None:
        """Drop the queued messages of an attempt that was cancelled by this daemon or by a peer."""
        for key, pending in self._pending_by_key.items():
            if key[0] == peer:
                pending[:] = [each for each in pending if each.attempt_id != attempt_id]
        for link in self._links(peer):
            link.discard(attempt_id)

    def close(self, peer: str) -> None:
        """Close all links to a peer that was lost."""
        for link in self._links(peer):
            link.close()

    def close_all(self) -> None:
        """Close all links."""
        for link in [*self._dialled_by_key.values(), *self._accepted_by_key.values()]:
            link.close()

    def accept(self, sock, stream, peer: str, kind: str) -> None:
        """Read from a link that a peer opened until it ends."""
        self._run(self._accepted_by_key, (peer, kind), sock, stream, [])

    def _links(self, peer: str) -> list[LongLink]:
        links = (self._dialled_by_key, self._accepted_by_key)
        return [link for each in links for key, link in each.items() if key[0] == peer]

    def _dial(self, peer: str, kind: str) -> None:
        key = (peer, kind)
        try:
            opened = self._connect(peer, kind)
        except (Exception, gevent.Timeout) as error:
            log("peer_lost", peer=peer, reason=f"{type(error).__name__}: {error}")
            self._post_unsent(self._pending_by_key.pop(key))
            return
        pending = self._pending_by_key.pop(key)
        if opened is not None:
            log("peer_connected", peer=peer, long_frames=kind)
            self._run(self._dialled_by_key, key, *opened, pending)
            return
        for message in pending:
            self._send_ordinary(peer, message)

    def _run(self, link_by_key: dict, key, sock, stream, pending: list[PeerMessage]) -> None:
        peer = key[0]

        def on_closed(link: LongLink, unsent: list[PeerMessage]) -> None:
            if link_by_key.get(key) is link:
                del link_by_key[key]
            log("peer_lost", peer=peer, reason=str(link.end_error or "closed"), long_frames=key[1])
            self._post_unsent(unsent)

        link = LongLink(sock, stream, peer, on_closed, self._meter, self._memory)
        link.on_expired = lambda attempt: self._deliver(peer, refusal(attempt, 0.0))
        link_by_key[key] = link
        while pending:
            self._send_on(link, pending.pop(0))
        link.read(
            lambda message: self._deliver(peer, message),
            lambda message, retry_after_s: self._refuse(peer, message, retry_after_s),
        )

    def _refuse(self, peer: str, message: Attempt | AttemptAnswer, retry_after_s: float) -> None:
        outcome = refusal(message, retry_after_s)
        if isinstance(message, Attempt):
            self._send_ordinary(peer, outcome)
        else:
            self._deliver(peer, outcome)
