"""The stateful machines: rules that disturb the world, all together and twice.

`CallMachine` hands documents and views of VMs to daemons itself, each at its own time, so that
entries and guards disagree as much as possible.
"""

from collections import Counter
from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from pollenroad.boundary import DocumentInForce, MembershipChanged, PeerReceived
from pollenroad.messages import Attempt, LoadReport

from .documents import (
    ADDRESS_BY_VM,
    SERVICE,
    VMS,
    out_vms_of,
    service_document,
    workspace_document,
)
from .strategies import (
    CLASS,
    COUNT,
    HURRY_MS,
    INDEX,
    KIND,
    LOAD,
    MODE,
    PROCESS_FAULT,
    SOME_DOMAINS,
    SOME_VMS,
    STATE,
    STEP_S,
    TAMPERING,
    VM,
)
from .world import World

SETTLED_S = 21.0
"""Time after which a guard may spend on measuring, in seconds."""

LAST_ANSWER_S = 4.0


class Machine(RuleBasedStateMachine):
    """Rules that both machines share."""

    examples = 0
    steps = 0
    failed_at = 0
    """Number of the example that failed first."""
    checks: Counter = Counter()
    only = ""
    """See `Oracle.only`."""

    def __init__(self):
        super().__init__()
        type(self).examples += 1
        self.world = None

    def make_world(self, seed: int) -> World:
        raise NotImplementedError

    def be_whole(self) -> None:
        """Let configuration reach everybody, and tell the oracle what holds everywhere."""
        raise NotImplementedError

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed):
        self.world = self.make_world(seed)
        self.world.oracle.only = self.only

    def check_invariants(self, settings, output, runtimes):
        type(self).steps += 1
        super().check_invariants(settings, output, runtimes)

    # --- Callers ---

    @rule(vm=VM, name=CLASS, count=COUNT, hurry=st.booleans())
    def call(self, vm, name, count, hurry):
        for _ in range(count):
            self.world.call(vm, name, HURRY_MS if hurry else 0.0)

    @rule(vm=VM, name=CLASS, count=COUNT, seconds=st.sampled_from((0.002, 0.005, 0.01)))
    def call_and_run(self, vm, name, count, seconds):
        self.call(vm, name, count, False)
        self.world.advance(seconds)

    @rule(index=INDEX)
    def abandon(self, index):
        self.world.abandon(index)

    @rule(seconds=STEP_S)
    def advance(self, seconds):
        self.world.advance(seconds)

    # --- Messages ---

    @rule(index=INDEX, seconds=STEP_S, kind=KIND, what=TAMPERING)
    def tamper(self, index, seconds, kind, what):
        self.world.advance_to_letter()
        bag = self.world.bag
        letters = [x for x in bag if isinstance(x.message, kind)] or bag
        if not letters:
            return
        letter = letters[index % len(letters)]
        match what:
            case "drop":
                bag.remove(letter)
            case "copy":
                letter.is_copied = True
                bag.append(replace(letter, due=letter.due + seconds))
            case "delay":
                letter.due += seconds
            case "now":
                self.world.deliver(letter)

    @rule(vm=VM, name=CLASS, seconds=st.sampled_from((0.0, 0.01, 0.05)))
    def hand_over_twice(self, vm, name, seconds):
        """Make calls whose attempts all come a second time, during or after the first run."""
        self.call(vm, name, 2, False)
        attempts = [x for x in self.world.bag if isinstance(x.message, Attempt)]
        for letter in attempts:
            letter.is_copied = True
            self.world.bag.append(replace(letter, due=letter.due + seconds))
        self.world.advance(0.1)

    @rule(one=VM, other=VM, keeps_sent=st.booleans())
    def break_link(self, one, other, keeps_sent):
        if one != other:
            self.world.break_link(one, other, keeps_sent)

    @rule(side=st.sets(VM, max_size=2))
    def split(self, side):
        """Split the fleet, or heal it where `side` is empty."""
        self.world.cut = {frozenset((a, b)) for a in side for b in VMS if b not in side}

    @rule(to=VM, about=VM, load=LOAD, bound=LOAD, state=STATE, sequence=st.integers(0, 10**6))
    def lie(self, to, about, load, bound, state, sequence):
        report = LoadReport(SERVICE, f"r{about[3:]}", load, load, bound, state, 1.0, sequence)
        self.world.post(to, PeerReceived(ADDRESS_BY_VM[about], report))

    # --- Processes and servers ---

    @rule(vm=VM, what=PROCESS_FAULT, flag=st.booleans())
    def disturb(self, vm, what, flag):
        match what:
            case "pause":
                self.world.pause(vm)
            case "wake":
                self.world.wake(vm, tick_first=flag)
            case "kill":
                self.world.kill(vm, keeps_sent=flag)
            case "restart":
                self.world.kill(vm, keeps_sent=flag)
                self.start(vm)
            case "stop":
                self.world.stop(vm)

    @rule(vm=VM, name=CLASS)
    def stop_under_load(self, vm, name):
        for entry in VMS:
            self.call(entry, name, 2, False)
        self.world.advance(0.005)
        self.world.stop(vm)

    @rule(rounds=st.integers(4, 8))
    def warm_up(self, rounds):
        """Serve steadily for a while, so that servers are no longer treated as cold."""
        for _ in range(rounds):
            for vm in VMS:
                self.call(vm, "lookup", 2, False)
            self.world.advance(0.3)

    @rule(vm=VM, name=CLASS)
    def restart_server_under_load(self, vm, name):
        for _ in range(2):
            for entry in VMS:
                self.call(entry, name, 3, False)
            self.world.advance(0.005)
            self.change_server(vm, "restart")
            self.world.advance(0.005)

    def start(self, vm: str) -> None:
        self.world.start(vm)

    @rule(vm=VM, mode=MODE)
    def change_server(self, vm, mode):
        server = self.world.node_by_vm[vm].server
        match mode:
            case "crash":
                server.crash()
            case "restart":
                server.crash()
                server.restart()
            case _:
                server.restart()
                server.mode = mode

    # --- Quiescence ---

    def teardown(self):
        if self.world is None:
            return
        try:
            if not self.world.oracle.is_broken:
                self.calm()
        finally:
            machine = type(self)
            machine.checks.update(self.world.oracle.checks)
            if self.world.oracle.is_broken:
                machine.failed_at = machine.failed_at or machine.examples

    def calm(self) -> None:
        """End every fault, and check what must hold in the end."""
        world = self.world
        world.cut = set()
        for vm in VMS:
            world.wake(vm, True)
            world.node_by_vm[vm].server.mode = "normal"
            world.node_by_vm[vm].server.restart()
        world.advance(LAST_ANSWER_S)
        for vm in VMS:
            world.start(vm)
        self.be_whole()
        for vm in VMS:
            world.call(vm, "bind")
            world.call(vm, "lookup")
        world.advance(LAST_ANSWER_S)
        world.oracle.quiet(self.newest(), self.versions())

    def newest(self) -> int:
        raise NotImplementedError

    def versions(self) -> dict[str, int]:
        return {vm: self.world.oracle.told_by_vm[vm].version for vm in VMS}


class CallMachine(Machine):
    """Entries, guards and limit owners; documents are handed over by rules."""

    def make_world(self, seed):
        world = World(seed)
        self.documents = [service_document(1)]
        for vm in VMS:
            world.start(vm)
            self._configure(world, vm, -1)
        world.advance(SETTLED_S)
        return world

    def _configure(self, world, vm, index):
        document = self.documents[index]
        node = world.node_by_vm[vm]
        if not node.is_alive or node.is_paused:
            return
        if document.version > world.oracle.told_by_vm[vm].version:
            world.post(vm, DocumentInForce(workspace_document()))
            world.post(vm, DocumentInForce(document))

    @rule(domains=SOME_DOMAINS, vms=SOME_VMS, told=st.sets(VM, max_size=3))
    def change(self, domains, vms, told):
        version = len(self.documents) + 1
        self.documents.append(service_document(version, sorted(domains), sorted(vms)))
        for vm in sorted(told):
            self._configure(self.world, vm, -1)

    @rule(vm=VM, back=st.sampled_from((1, 2)))
    def configure(self, vm, back):
        self._configure(self.world, vm, -min(back, len(self.documents)))

    @rule(vm=VM, leaving=SOME_VMS, dead=SOME_VMS)
    def see_vms(self, vm, leaving, dead):
        self.world.post(vm, MembershipChanged(frozenset(leaving), frozenset(dead)))

    def start(self, vm):
        self.world.start(vm)
        self._configure(self.world, vm, -1)

    def be_whole(self):
        world = self.world
        nobody = MembershipChanged(frozenset(), frozenset())
        for vm in VMS:
            self._configure(world, vm, -1)
            world.post(vm, nobody)
        world.oracle.out_everywhere = out_vms_of(self.documents[-1])

    def newest(self):
        return len(self.documents)
