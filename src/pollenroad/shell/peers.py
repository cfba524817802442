"""Links between daemons: TCP connections that carry frames, each with its own tasks.

A daemon dials a peer to send attempts to it; the answers arrive over the same link. When a dialled
link breaks, `AttemptUnsent` is posted for each attempt that was not sent, and then `PeerLost`:
whether the other attempts ran is unknown.
"""

import os
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import msgspec
from gevent.event import Event as Flag
from gevent.server import StreamServer

from pollenroad.addresses import host_of, split_address
from pollenroad.boundary import AttemptUnsent, Event, PeerLost, PeerReceived
from pollenroad.exceptions import PeerError
from pollenroad.limit_messages import LimitGrant
from pollenroad.logs import log
from pollenroad.messages import (
    PROTOCOL_VERSION,
    Attempt,
    AttemptAnswer,
    Hello,
    Leaving,
    LoadReport,
    PeerMessage,
    RelayMessage,
)
from pollenroad.shell.control_cost import CostMeter, make_cost_meter
from pollenroad.shell.frames import (
    COMPRESSED_PROTOCOL,
    LENGTH_PREFIX_BYTES,
    decode_message,
    encode_frame,
    read_body,
    read_message,
)
from pollenroad.shell.sockets import set_liveness_options
from pollenroad.shell.tasks import TurnCounter
from pollenroad.verdicts import Verdict

DIAL_TIMEOUT_S = 0.5
HELLO_TIMEOUT_S = 2.0
HELLO_MAX_BYTES = 4096
NONCE_BYTES = 16
"""Length of a challenge in bytes."""
MAX_OUTBOX_BYTES = 33_554_432
"""Number of bytes queued for one peer above which its link is closed."""
MAX_NONBLOCKING_BYTES = 65_536
"""Longest frame that is written without a task switch, in bytes."""
MAX_INBOUND_LINKS = 12_000
UNSENDABLE = "unsendable"
"""Reason code of an attempt that cannot be encoded."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity that a daemon states to its peers."""

    vm: str
    address: str
    incarnation: str
    failure_domain: str
    key: str = ""


def _proof(key: str, nonce: str, address: str) -> str:
    if not key:
        return ""
    # Imported only if there is a key, since the hash library takes 4 MB of memory.
    import hmac

    return hmac.digest(key.encode(), f"{nonce} {address}".encode(), "sha256").hex()


def _is_valid_proof(proof: str, key: str, nonce: str, address: str) -> bool:
    if not key:
        return not proof
    import hmac

    return hmac.compare_digest(proof, _proof(key, nonce, address))


class _Link:
    """One open connection, with a queue of outgoing frames, a writer task and a reader task."""

    def __init__(self, sock, stream, hello: Hello, on_closed: Callable, meter: CostMeter):
        self.peer = hello.address
        self.end_error: OSError | None = None
        """Error that ended the link; None if it was closed."""
        self._uses_compression = hello.protocol >= COMPRESSED_PROTOCOL
        self._meter = meter
        self._sock = sock
        self._stream = stream
        self._on_closed = on_closed
        self._outbox = deque()
        self._outbox_bytes = 0
        self._wake = Flag()
        self._closed = False
        self._writing = False
        self._unwritten = b""
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
        self._outbox_bytes += len(frame)
        if self._outbox_bytes > MAX_OUTBOX_BYTES:
            self.close()
        self._wake.set()

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
        self._outbox_bytes -= len(frame)
        self._writing = True
        self._sock.sendall(frame)
        self._writing = False

    def read(self, on_message: Callable[[PeerMessage], None]) -> None:
        """Pass each received message to `on_message` until the link ends."""
        try:
            turns = TurnCounter()
            while not self._closed and (body := read_body(self._stream)) is not None:
                on_message(self._decode(body))
                turns.step()
        except PeerError as error:
            log("peer_refused", peer=self.peer, reason=str(error))
        except OSError as error:
            self.end_error = error
        finally:
            self.close()

    def _decode(self, body: bytes) -> PeerMessage:
        start = time.thread_time()
        message = decode_message(body)
        self._meter.received(message, len(body) + LENGTH_PREFIX_BYTES, time.thread_time() - start)
        return message

    def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._wake.set()
        self._sock.close()
        self._on_closed(self, [message for message, _ in self._outbox])


class Peers:
    """All links of one daemon.

    Args:
        identity: Identity of this daemon.
        post: Passes an event to the cores.
        is_member: Returns whether a peer address belongs to a known daemon.
        meter: Counts messages, bytes and CPU time.
        on_entry_lost: Called with the address of a peer when the link that it dialled breaks.
    """

    def __init__(
        self,
        identity: Identity,
        post: Callable[[Event], None],
        is_member: Callable[[str], bool],
        meter: CostMeter | None = None,
        on_entry_lost: Callable[[str], None] = lambda peer: None,
    ):
        self._on_entry_lost = on_entry_lost
        self._meter = meter or make_cost_meter()
        self._identity = identity
        self._post = post
        self._is_member = is_member
        self._dialled_by_peer: dict[str, _Link] = {}
        self._accepted_by_peer: dict[str, _Link] = {}
        self._pending_by_peer: dict[str, list[PeerMessage]] = {}
        self.cut_peers: frozenset[str] = frozenset()
        """Peers to which nothing is sent, to simulate a network partition."""
        self._server = StreamServer(split_address(identity.address), self._accept, backlog=1024)

    @property
    def sent_bytes(self) -> int:
        """Number of bytes sent to peers so far."""
        return self._meter.sent_bytes

    def start(self) -> None:
        """Start listening for peers."""
        self._server.start()

    def stop(self) -> None:
        """Close the listening socket and all links."""
        self._server.stop()
        for link in [*self._dialled_by_peer.values(), *self._accepted_by_peer.values()]:
            link.close()

    def send(self, peer: str, message: PeerMessage) -> None:
        """Send one message, without blocking."""
        if peer in self.cut_peers:
            return
        if peer == self._identity.address:
            self._post(PeerReceived(peer, message))
            return
        link = self._find_link(peer, message)
        if link is not None:
            self._send_on(link, message)
        elif peer in self._pending_by_peer:
            self._pending_by_peer[peer].append(message)
        else:
            self._pending_by_peer[peer] = [message]
            gevent.spawn(self._dial, peer)

    def _find_link(self, peer: str, message: PeerMessage) -> _Link | None:
        match message:
            case AttemptAnswer() | LoadReport() | Leaving() | LimitGrant():
                return self._accepted_by_peer.get(peer) or self._dialled_by_peer.get(peer)
            case _ if isinstance(message, RelayMessage):
                return self._dialled_by_peer.get(peer) or self._accepted_by_peer.get(peer)
            case _:
                return self._dialled_by_peer.get(peer)

    def _send_on(self, link: _Link, message: PeerMessage) -> None:
        """Send one message; an attempt that cannot be encoded is answered as not run."""
        try:
            link.send(message)
        except PeerError as error:
            log("message_refused", peer=link.peer, reason=str(error))
            if isinstance(message, Attempt):
                answer = AttemptAnswer(message.attempt_id, Verdict.NOT_RUN.value, UNSENDABLE)
                self._post(PeerReceived(link.peer, answer))

    # --- Dialling ---

    def _dial(self, peer: str) -> None:
        try:
            link = self._connect(peer)
        except (Exception, gevent.Timeout) as error:
            log("peer_lost", peer=peer, reason=f"{type(error).__name__}: {error}")
            self._post_unsent(self._pending_by_peer.pop(peer))
            return
        self._dialled_by_peer[peer] = link
        for message in self._pending_by_peer.pop(peer):
            self._send_on(link, message)
        log("peer_connected", peer=peer)
        link.read(lambda message: self._post(PeerReceived(peer, message)))

    def _connect(self, peer: str) -> _Link:
        source = (host_of(self._identity.address), 0)
        sock = gevent.socket.create_connection(split_address(peer), DIAL_TIMEOUT_S, source)
        try:
            with gevent.Timeout(HELLO_TIMEOUT_S):
                stream = sock.makefile("rb")
                challenge = read_message(stream, HELLO_MAX_BYTES)
                if not isinstance(challenge, Hello):
                    raise PeerError("no hello")
                sock.settimeout(None)
                set_liveness_options(sock)
                sock.sendall(encode_frame(self._hello(challenge.incarnation)))
        except BaseException:
            sock.close()
            raise
        acceptor = msgspec.structs.replace(challenge, address=peer)
        return _Link(sock, stream, acceptor, self._on_dialled_closed, self._meter)

    def _hello(self, nonce: str) -> Hello:
        me = self._identity
        proof = _proof(me.key, nonce, me.address)
        return Hello(PROTOCOL_VERSION, me.vm, me.address, me.incarnation, me.failure_domain, proof)

    def _on_dialled_closed(self, link: _Link, unsent: list[PeerMessage]) -> None:
        if self._dialled_by_peer.get(link.peer) is link:
            del self._dialled_by_peer[link.peer]
        log("peer_lost", peer=link.peer, reason=str(link.end_error or "closed"))
        self._post_unsent(unsent)
        self._post(PeerLost(link.peer, isinstance(link.end_error, TimeoutError)))

    def _post_unsent(self, messages: list[PeerMessage]) -> None:
        for message in messages:
            if isinstance(message, Attempt):
                self._post(AttemptUnsent(message.attempt_id))

    # --- Accepting ---

    def _accept(self, sock, remote) -> None:
        if len(self._accepted_by_peer) >= MAX_INBOUND_LINKS:
            sock.close()
            return
        set_liveness_options(sock)
        stream = sock.makefile("rb")
        try:
            hello = self._authenticate(sock, stream, remote[0])
        except (OSError, PeerError, ValueError, gevent.Timeout) as error:
            log("peer_refused", peer=f"{remote[0]}:{remote[1]}", reason=str(error))
            sock.close()
            return
        link = _Link(sock, stream, hello, self._on_accepted_closed, self._meter)
        self._accepted_by_peer[hello.address] = link
        link.read(lambda message: self._post(PeerReceived(hello.address, message)))

    def _authenticate(self, sock, stream, remote_host: str) -> Hello:
        nonce = os.urandom(NONCE_BYTES).hex()
        me = self._identity
        challenge = Hello(PROTOCOL_VERSION, me.vm, me.address, nonce, me.failure_domain)
        with gevent.Timeout(HELLO_TIMEOUT_S):
            sock.sendall(encode_frame(challenge))
            hello = read_message(stream, HELLO_MAX_BYTES)
        if not isinstance(hello, Hello):
            raise PeerError("no hello")
        if host_of(hello.address) != remote_host:
            raise PeerError(f"hello names {hello.address}, connection is from {remote_host}")
        if not _is_valid_proof(hello.proof, me.key, nonce, hello.address):
            raise PeerError("proof does not match the shared key")
        if not self._is_member(hello.address):
            raise PeerError(f"{hello.address} is not a known member")
        return hello

    def _on_accepted_closed(self, link: _Link, unsent: list[PeerMessage]) -> None:
        if self._accepted_by_peer.get(link.peer) is link:
            del self._accepted_by_peer[link.peer]
            log("entry_lost", peer=link.peer, reason=str(link.end_error or "closed"))
            self._on_entry_lost(link.peer)
