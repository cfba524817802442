"""The world of the fuzzing: daemons' cores, a bag of messages, a clock, fake servers.

This decides nothing and models no queue, bandwidth or service time beyond what the promises need.
It carries out actions, lets rules interfere with messages, and reports facts to the oracle.
"""

import heapq
import itertools
import random

from pollenroad.boundary import (
    Action,
    AnswerCall,
    AttemptUnsent,
    CallAbandoned,
    CallArrived,
    CancelAtServer,
    DocumentInForce,
    Event,
    ListDocuments,
    ListVms,
    MembershipChanged,
    PeerLost,
    PeerReceived,
    ProbeServer,
    ReadDocument,
    RunAtServer,
    SendPeer,
    StopRequested,
    Tick,
    WatchPlatform,
)
from pollenroad.cores import make_cores
from pollenroad.messages import Attempt, LoadReport, Request
from pollenroad.models import ServiceDocument
from pollenroad.relay.relay import RelaySettings

from .documents import (
    ADDRESS_BY_VM,
    CLASSES,
    COLD_START,
    DOMAIN_BY_VM,
    MESSAGES_PER_S,
    SERVICE,
    SLOTS,
    VM_BY_ADDRESS,
    VMS,
)
from .nodes import Letter, Node, tell
from .oracle import BrokenPromiseError, Oracle
from .readers import Readers
from .servers import FakeServer

HOP_S = 0.001
DIAL_S = 0.5
LETTER_WAIT_S = 0.05
ELSEWHERE = "elsewhere"
"""Failure domain of entries without relays, so that they use every endpoint alike."""
EVENTS_PER_ADVANCE = 50_000
IDEMPOTENT_BY_CLASS = {c.name: c.idempotent for c in CLASSES}


class World:
    """Four daemons and their surroundings.

    Args:
        seed: Of service times and delays.
        platform: A fake platform that the relays read, or None where documents are handed over.
    """

    def __init__(self, seed: int, platform=None):
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.oracle = Oracle(SLOTS, COLD_START.bound, MESSAGES_PER_S)
        self.platform = platform
        self.published: set[bytes] = set()
        self.bag: list[Letter] = []
        self.cut: set[frozenset[str]] = set()
        self.node_by_vm = {
            vm: Node(vm, self.rng.uniform(-500, 500), FakeServer(self, vm)) for vm in VMS
        }
        self._order = itertools.count()
        self._later: list = []
        self._readers = Readers(self, platform)
        self._calls = itertools.count(1)
        self.entry_by_call: dict[str, str] = {}

    # --- Processes ---

    def start(self, vm: str) -> None:
        node = self.node_by_vm[vm]
        if node.is_alive:
            return
        node.starts += 1
        others = tuple(address for other, address in ADDRESS_BY_VM.items() if other != vm)
        incarnation = 1_000_000 * (1 + int(self.now))
        domain = DOMAIN_BY_VM[vm] if self.platform else ELSEWHERE
        settings = RelaySettings(
            vm, ADDRESS_BY_VM[vm], domain, incarnation, SERVICE, others, len(VMS)
        )
        name = f"{vm}-{node.starts}"
        node.cores = make_cores(name, SERVICE, settings, random.Random(name), self._clock(node))
        node.is_paused = node.is_stopping = node.is_configured = False
        node.seen_incarnation = ""
        self.oracle.told_by_vm.pop(vm, None)

    def kill(self, vm: str, keeps_sent: bool) -> None:
        """End a process at once; its peers see the link break."""
        node = self.node_by_vm[vm]
        if not node.is_alive:
            return
        node.cores = None
        node.inbox.clear()
        node.wanted_attempts.clear()
        node.server.connections_closed()
        self._readers.forget(vm)
        for call_id in [c for c, entry in self.entry_by_call.items() if entry == vm]:
            del self.entry_by_call[call_id]
            self.oracle.caller_gone(call_id)
        for letter in list(self.bag):
            if letter.target == vm or (letter.source == vm and not keeps_sent):
                self.bag.remove(letter)
        for other in VMS:
            if other != vm:
                self.post_later(HOP_S, other, PeerLost(ADDRESS_BY_VM[vm]))

    def pause(self, vm: str) -> None:
        self.node_by_vm[vm].is_paused = self.node_by_vm[vm].is_alive

    def wake(self, vm: str, tick_first: bool) -> None:
        node = self.node_by_vm[vm]
        if not node.is_paused:
            return
        node.is_paused = False
        inbox, node.inbox = node.inbox, []
        if tick_first:
            self.post(vm, Tick())
        for event in inbox:
            self.post(vm, event)

    def stop(self, vm: str) -> None:
        """Ask a daemon to stop as planned; it ends when its cores say that nothing is open."""
        node = self.node_by_vm[vm]
        if node.is_alive and not node.is_paused and not node.is_stopping:
            node.is_stopping = True
            self.post(vm, StopRequested())

    def _end_drained(self) -> None:
        for node in self.node_by_vm.values():
            if not node.is_stopping or node.is_paused or not node.is_alive:
                continue
            if node.cores.guard.in_flight or node.cores.entry.open_calls:
                continue
            open_calls = sum(entry == node.vm for entry in self.entry_by_call.values())
            self.oracle.stopped(node.vm, node.server.in_flight, open_calls)
            self.kill(node.vm, keeps_sent=True)

    # --- Links ---

    def break_link(self, one: str, other: str, keeps_sent: bool) -> None:
        """Break both links between two daemons; what was sent may still arrive."""
        for source, target in ((one, other), (other, one)):
            letters = [x for x in self.bag if (x.source, x.target) == (source, target)]
            for letter in () if keeps_sent else letters:
                self.bag.remove(letter)
                may_be_unsent = isinstance(letter.message, Attempt) and not letter.is_copied
                if may_be_unsent and self.rng.random() < 0.5:
                    self.post_later(HOP_S, source, AttemptUnsent(letter.message.attempt_id))
            self.post_later(HOP_S, source, PeerLost(ADDRESS_BY_VM[target]))

    def _send(self, node: Node, peer: str, message) -> None:
        target = VM_BY_ADDRESS[peer]
        if isinstance(message, Attempt) and target != node.vm:
            self.oracle.sent(node.vm, target)
        if isinstance(message, LoadReport):
            self.oracle.measured(self.now)
        if target == node.vm:
            self.post_later(0.0, node.vm, PeerReceived(peer, message))
        elif self.node_by_vm[target].is_alive:
            due = self.now + HOP_S * self.rng.uniform(0.5, 2.0)
            self.bag.append(Letter(node.vm, target, message, due))
        elif isinstance(message, Attempt):
            self.post_later(HOP_S, node.vm, AttemptUnsent(message.attempt_id))

    def deliver(self, letter: Letter) -> None:
        self.bag.remove(letter)
        self.post(letter.target, PeerReceived(ADDRESS_BY_VM[letter.source], letter.message))

    def _is_cut(self, letter: Letter) -> bool:
        return frozenset((letter.source, letter.target)) in self.cut

    # --- Time ---

    def _clock(self, node: Node) -> float:
        return self.now + node.clock_offset

    def later(self, seconds: float, function) -> None:
        heapq.heappush(self._later, (self.now + seconds, next(self._order), function))

    def post_later(self, seconds: float, vm: str, event: Event) -> None:
        starts = self.node_by_vm[vm].starts

        def post():
            if self.node_by_vm[vm].starts == starts:
                self.post(vm, event)

        self.later(seconds, post)

    def _next_time(self) -> float:
        times = [letter.due for letter in self.bag if not self._is_cut(letter)]
        times += [self._later[0][0]] if self._later else []
        times += self._readers.ends()
        for node in self.node_by_vm.values():
            if node.is_alive and not node.is_paused:
                due = self._next_tick(node)
                times += [] if due is None else [due - node.clock_offset]
        return min(times, default=float("inf"))

    def _next_tick(self, node: Node) -> float | None:
        """Return when a node wants its next tick, by its own clock."""
        cores = node.cores
        if self.platform is not None:
            due = cores.next_due()
        else:
            roles = (cores.entry, cores.guard, cores.limit_owner)
            dues = [due for role in roles if (due := role.next_due()) is not None]
            due = min(dues, default=None)
        return due

    def advance(self, seconds: float) -> None:
        """Let everything that is due happen, in the order of time."""
        end = self.now + seconds
        for _ in range(EVENTS_PER_ADVANCE):
            due = self._next_time()
            if due > end:
                self.now = end
                return
            self.now = max(self.now, due)
            self._step()
        raise BrokenPromiseError("progress", "the cores ask for ticks without end")

    def advance_to_letter(self) -> None:
        """Let things happen until a message is under way, for a short while at the most."""
        end = self.now + LETTER_WAIT_S
        while not self.bag and (due := self._next_time()) <= end:
            self.now = max(self.now, due)
            self._step()

    def _step(self) -> None:
        while self._later and self._later[0][0] <= self.now:
            heapq.heappop(self._later)[2]()
        for letter in [x for x in self.bag if x.due <= self.now and not self._is_cut(x)]:
            if letter in self.bag:
                self.deliver(letter)
        for node in self.node_by_vm.values():
            if node.is_alive and not node.is_paused:
                due = self._next_tick(node)
                if due is not None and due <= self._clock(node) + 1e-9:
                    self._handle(node, Tick(), max(self._clock(node), due))
        self._readers.serve()
        self._end_drained()

    # --- Events and actions ---

    def post(self, vm: str, event: Event) -> None:
        node = self.node_by_vm[vm]
        if not node.is_alive:
            return
        if node.is_paused:
            node.inbox.append(event)
        else:
            self._handle(node, event, self._clock(node))

    def _handle(self, node: Node, event: Event, now: float) -> None:
        self._tell_oracle(node, event)
        if self.platform is None:
            actions = self._without_relay(node, event, now)
        else:
            actions = node.cores.handle(event, now)
        for action in actions:
            self._perform(node, action)

    def _without_relay(self, node: Node, event: Event, now: float):
        for role in (node.cores.entry, node.cores.guard, node.cores.limit_owner):
            yield from role.handle(event, now)

    def _tell_oracle(self, node: Node, event: Event) -> None:
        match event:
            case DocumentInForce(ServiceDocument() as document):
                is_published = self.platform is None or document in self.published
                self.oracle.in_force(node.vm, document.version, is_published)
        tell(self.oracle.told_by_vm[node.vm], node, event, self.now)

    def server_started(self, server: FakeServer, attempt: Attempt) -> None:
        idempotent = IDEMPOTENT_BY_CLASS[attempt.request_class]
        self.oracle.started(server.vm, attempt.request_id, idempotent, server.in_flight, self.now)

    def _perform(self, node: Node, action: Action) -> None:
        match action:
            case SendPeer(peer, message):
                self._send(node, peer, message)
            case AnswerCall(call_id, verdict, _, response):
                self.entry_by_call.pop(call_id, None)
                self.oracle.answered(call_id, verdict.value, response and response.body)
            case RunAtServer(attempt, timeout_s):
                node.wanted_attempts[attempt.attempt_id] = self._clock(node) + timeout_s
                node.server.run(attempt, timeout_s)
            case CancelAtServer(attempt_id):
                self._cancel(node, attempt_id)
            case ProbeServer(timeout_s):
                self.oracle.measured(self.now)
                node.server.probe(timeout_s)
                self.oracle.loaded(node.vm, node.server.in_flight, self.now)
            case DocumentInForce() | MembershipChanged():
                self._tell_oracle(node, action)
            case ReadDocument() | ListDocuments() | ListVms() | WatchPlatform():
                self._readers.read(node, action)

    def _cancel(self, node: Node, attempt_id: str) -> None:
        deadline = node.wanted_attempts.pop(attempt_id, None)
        is_wanted = deadline is not None and self._clock(node) < deadline - 1e-6
        self.oracle.cut_off(node.vm, attempt_id, is_wanted)
        node.server.cancel(attempt_id)

    # --- Callers ---

    def call(self, vm: str, request_class: str, deadline_ms: float = 0.0) -> None:
        node = self.node_by_vm[vm]
        if not node.is_alive:
            return
        number = next(self._calls)
        call_id, request_id = f"c{number}", f"q{number}"
        self.entry_by_call[call_id] = vm
        self.oracle.called(call_id, request_id)
        request = Request("GET", f"/{number}")
        call = CallArrived(
            call_id, request_id, SERVICE, "club", request_class, request, deadline_ms
        )
        self.post(vm, call)

    def abandon(self, index: int) -> None:
        if not self.entry_by_call:
            return
        call_id = list(self.entry_by_call)[index % len(self.entry_by_call)]
        vm = self.entry_by_call.pop(call_id)
        self.oracle.caller_gone(call_id)
        self.post(vm, CallAbandoned(call_id))
