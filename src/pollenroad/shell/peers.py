"""All links of one daemon: dialling, accepting, and which of them carries a message.

A daemon dials a peer to send attempts to it; the answers arrive over the same link. When a dialled
link breaks, `AttemptUnsent` is posted for each attempt that was not sent, and then `PeerLost`:
whether the other attempts ran is unknown.
"""

import os
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import msgspec
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
    CancelAttempt,
    Hello,
    Leaving,
    LoadReport,
    PeerMessage,
    RelayMessage,
)
from pollenroad.shell.control_cost import CostMeter, make_cost_meter
from pollenroad.shell.frames import (
    LONG_FRAME_BYTES,
    LONG_FRAMES_PROTOCOL,
    body_of,
    encode_frame,
    read_message,
)
from pollenroad.shell.link_memory import LinkGrant, LinkMemory
from pollenroad.shell.long_links import LongLink, LongLinks, refusal
from pollenroad.shell.peer_link import PeerLink
from pollenroad.shell.sockets import set_liveness_options
from pollenroad.verdicts import Verdict

DIAL_TIMEOUT_S = 0.5
HELLO_TIMEOUT_S = 2.0
HELLO_MAX_BYTES = 4096
NONCE_BYTES = 16
"""Length of a challenge in bytes."""
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


class Peers:
    """All links of one daemon.

    Args:
        identity: Identity of this daemon.
        post: Passes an event to the cores.
        is_member: Returns whether a peer address belongs to a known daemon.
        meter: Counts messages, bytes and CPU time.
        on_entry_lost: Called with the address of a peer when the link that it dialled breaks.
        memory: Space for the messages; without it, long frames are sent on the ordinary links.
    """

    def __init__(
        self,
        identity: Identity,
        post: Callable[[Event], None],
        is_member: Callable[[str], bool],
        meter: CostMeter | None = None,
        on_entry_lost: Callable[[str], None] = lambda peer: None,
        memory: LinkMemory | None = None,
    ):
        self._on_entry_lost = on_entry_lost
        self._meter = meter or make_cost_meter()
        self._identity = identity
        self._post = post
        self._is_member = is_member
        self._dialled_by_peer: dict[str, PeerLink] = {}
        self._accepted_by_peer: dict[str, PeerLink] = {}
        self._pending_by_peer: dict[str, list[PeerMessage]] = {}
        self.cut_peers: frozenset[str] = frozenset()
        """Peers to which nothing is sent, to simulate a network partition."""
        self._memory = memory
        self._long_links = memory and LongLinks(
            memory,
            self._meter,
            self._connect_long,
            self._send_on,
            self._send_ordinary,
            lambda peer, message: self._post(PeerReceived(peer, message)),
            self._post_unsent,
        )
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
        if self._long_links is not None:
            self._long_links.close_all()

    def send(self, peer: str, message: PeerMessage) -> None:
        """Send one message, without blocking."""
        if peer in self.cut_peers:
            return
        if peer == self._identity.address:
            self._post(PeerReceived(peer, message))
            return
        if self._long_links is not None:
            if len(body_of(message)) > LONG_FRAME_BYTES and self._accepts_long_frames(peer):
                self._long_links.send(peer, message)
                return
            if isinstance(message, CancelAttempt):
                self._long_links.discard(peer, message.attempt_id)
        self._send_ordinary(peer, message)

    def _accepts_long_frames(self, peer: str) -> bool:
        """Return whether a peer does, or may do so if there is no link to it yet."""
        link = self._dialled_by_peer.get(peer) or self._accepted_by_peer.get(peer)
        return link is None or link.protocol >= LONG_FRAMES_PROTOCOL

    def _send_ordinary(self, peer: str, message: PeerMessage) -> None:
        link = self._find_link(peer, message)
        if link is not None:
            self._send_on(link, message)
        elif peer in self._pending_by_peer:
            self._pending_by_peer[peer].append(message)
        else:
            self._pending_by_peer[peer] = [message]
            gevent.spawn(self._dial, peer)

    def _find_link(self, peer: str, message: PeerMessage) -> PeerLink | None:
        match message:
            case AttemptAnswer() | LoadReport() | Leaving() | LimitGrant():
                return self._accepted_by_peer.get(peer) or self._dialled_by_peer.get(peer)
            case _ if isinstance(message, RelayMessage):
                return self._dialled_by_peer.get(peer) or self._accepted_by_peer.get(peer)
            case _:
                return self._dialled_by_peer.get(peer)

    def _send_on(self, link: PeerLink | LongLink, message: PeerMessage) -> None:
        """Send one message; an attempt that cannot be encoded is answered as not run."""
        try:
            link.send(message)
        except PeerError as error:
            log("message_refused", peer=link.peer, reason=str(error))
            if isinstance(message, Attempt):
                answer = AttemptAnswer(message.attempt_id, Verdict.NOT_RUN.value, UNSENDABLE)
                self._post(PeerReceived(link.peer, answer))

    def _receive(self, peer: str, message: PeerMessage, grant: LinkGrant | None) -> None:
        """Handle a message from an ordinary link, unless there is no space for it."""
        if self._memory is not None:
            if isinstance(message, CancelAttempt):
                self._long_links.discard(peer, message.attempt_id)
            if not self._memory.received(message, grant):
                self.send(peer, refusal(message, 0.0))
                return
        self._post(PeerReceived(peer, message))

    # --- Dialling ---

    def _dial(self, peer: str) -> None:
        try:
            link = self._connect(peer)
        except (Exception, gevent.Timeout) as error:
            log("peer_lost", peer=peer, reason=f"{type(error).__name__}: {error}")
            self._post_unsent(self._pending_by_peer.pop(peer))
            return
        self._dialled_by_peer[peer] = link
        pending = self._pending_by_peer.pop(peer)
        while pending:  # A loop variable would keep the last message as long as the link.
            self._send_on(link, pending.pop(0))
        log("peer_connected", peer=peer)
        link.read(lambda message, grant: self._receive(peer, message, grant))

    def _connect(self, peer: str) -> PeerLink:
        sock, stream, challenge = self._open(peer)
        acceptor = msgspec.structs.replace(challenge, address=peer)
        closed = self._on_dialled_closed
        return PeerLink(sock, stream, acceptor, closed, self._meter, self._memory, is_dialled=True)

    def _connect_long(self, peer: str, kind: str) -> tuple | None:
        """Open a link for long frames; return None if the peer's build does not accept it."""
        sock, stream, challenge = self._open(peer, kind)
        if challenge.protocol < LONG_FRAMES_PROTOCOL:
            sock.close()
            return None
        return sock, stream

    def _open(self, peer: str, long_frames: str = "") -> tuple:
        """Connect to a peer; return the socket, its stream, and what the peer states of itself."""
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
                if not long_frames or challenge.protocol >= LONG_FRAMES_PROTOCOL:
                    sock.sendall(encode_frame(self._hello(challenge.incarnation, long_frames)))
        except BaseException:
            sock.close()
            raise
        return sock, stream, challenge

    def _hello(self, nonce: str, long_frames: str) -> Hello:
        me = self._identity
        domain, proof = me.failure_domain, _proof(me.key, nonce, me.address)
        return Hello(
            PROTOCOL_VERSION, me.vm, me.address, me.incarnation, domain, proof, long_frames
        )

    def _on_dialled_closed(self, link: PeerLink, unsent: list[PeerMessage]) -> None:
        if self._dialled_by_peer.get(link.peer) is link:
            del self._dialled_by_peer[link.peer]
        log("peer_lost", peer=link.peer, reason=str(link.end_error or "closed"))
        self._close_long(link.peer)
        self._post_unsent(unsent)
        self._post(PeerLost(link.peer, isinstance(link.end_error, TimeoutError)))

    def _close_long(self, peer: str) -> None:
        if self._long_links is not None:
            self._long_links.close(peer)

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
        if hello.long_frames:
            self._accept_long(sock, stream, hello)
            return
        closed = self._on_accepted_closed
        link = PeerLink(sock, stream, hello, closed, self._meter, self._memory)
        self._accepted_by_peer[hello.address] = link
        link.read(lambda message, grant: self._receive(hello.address, message, grant))

    def _accept_long(self, sock, stream, hello: Hello) -> None:
        if self._long_links is None:
            log("peer_refused", peer=hello.address, reason="no links for long frames")
            sock.close()
            return
        self._long_links.accept(sock, stream, hello.address, hello.long_frames)

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

    def _on_accepted_closed(self, link: PeerLink, unsent: list[PeerMessage]) -> None:
        if self._accepted_by_peer.get(link.peer) is link:
            del self._accepted_by_peer[link.peer]
            log("entry_lost", peer=link.peer, reason=str(link.end_error or "closed"))
            self._close_long(link.peer)
            self._on_entry_lost(link.peer)
