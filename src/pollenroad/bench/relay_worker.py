"""One process of a bench with many relays, each with real links on its own loopback address.

A relay here is the core with the shell's links and platform client, without entry and guard.
Events go to standard output as JSON lines. SIGTERM makes every relay of the process leave, SIGUSR1
prints what the process has spent.
"""

import random
import resource
import signal
import sys
import time
from pathlib import Path

import gevent
import msgspec

from pollenroad.boundary import (
    Action,
    DocumentInForce,
    Event,
    ListDocuments,
    ListVms,
    MembershipChanged,
    ReadDocument,
    RelayReady,
    SendPeer,
    StopRequested,
    Tick,
    WatchPlatform,
)
from pollenroad.models import VmState
from pollenroad.relay.relay import RelaySettings, make_relay
from pollenroad.shell.peers import Identity, Peers
from pollenroad.shell.platform import Platform


class WorkerPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What one process runs."""

    platform: str
    vms: tuple[VmState, ...]
    seeds: tuple[str, ...]
    fleet_hint: int


class WorkerEvent(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One line of output."""

    kind: str
    """`ready`, `in-force`, `view` or `spent`."""
    at: float
    """Monotonic time in seconds, which processes of one machine share."""
    vm: str = ""
    version: int = 0
    leaving: tuple[str, ...] = ()
    dead: tuple[str, ...] = ()
    relays: int = 0
    cpu_s: float = 0.0
    """Processor time of the process so far, in seconds."""
    sent_bytes: int = 0
    sent_messages: int = 0


class RelayHost:
    """One relay with its sockets."""

    def __init__(self, vm: VmState, plan: WorkerPlan):
        self.vm = vm
        self.sent_messages = 0
        seeds = tuple(seed for seed in plan.seeds if seed != vm.address)
        settings = RelaySettings(
            vm.name,
            vm.address,
            vm.failure_domain,
            int(time.time() * 1000),
            "",
            seeds,
            plan.fleet_hint,
            time.time() - time.monotonic(),
        )
        self._relay = make_relay(settings, lambda old, new: (), random.Random())
        identity = Identity(vm.name, vm.address, vm.name, vm.failure_domain)
        self.peers = Peers(identity, self.post, self._relay.is_member)
        self._platform = Platform((plan.platform,))

    def run(self) -> None:
        """Listen, and tick for ever."""
        self.peers.start()
        while True:
            self.post(Tick())
            gevent.sleep(max(0.001, self._relay.next_due() - time.monotonic()))

    def post(self, event: Event) -> None:
        """Hand an event to the relay and carry out what it decides."""
        for action in self._relay.handle(event, time.monotonic()):
            self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case SendPeer(peer, message):
                self.sent_messages += 1
                self.peers.send(peer, message)
            case ReadDocument() | ListDocuments() | ListVms() | WatchPlatform():
                gevent.spawn(lambda: self.post(self._platform.answer(action)))
            case DocumentInForce(document):
                self._emit("in-force", version=document.version)
            case MembershipChanged(leaving, dead, doubtful):
                gone = tuple(sorted(dead | doubtful))
                self._emit("view", leaving=tuple(sorted(leaving)), dead=gone)
            case RelayReady():
                self._emit("ready")

    def _emit(self, kind: str, **fields: object) -> None:
        emit(WorkerEvent(kind=kind, at=time.monotonic(), vm=self.vm.name, **fields))


def emit(event: WorkerEvent) -> None:
    """Write one line."""
    sys.stdout.buffer.write(msgspec.json.encode(event) + b"\n")
    sys.stdout.buffer.flush()


def _emit_spent(hosts: list[RelayHost]) -> None:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    emit(
        WorkerEvent(
            kind="spent",
            at=time.monotonic(),
            relays=len(hosts),
            cpu_s=usage.ru_utime + usage.ru_stime,
            sent_bytes=sum(host.peers.sent_bytes for host in hosts),
            sent_messages=sum(host.sent_messages for host in hosts),
        )
    )


def main() -> None:
    """Run the relays of the plan in the file named by the only argument."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=WorkerPlan)
    hosts = [RelayHost(vm, plan) for vm in plan.vms]
    gevent.signal_handler(signal.SIGTERM, lambda: [h.post(StopRequested()) for h in hosts])
    gevent.signal_handler(signal.SIGUSR1, _emit_spent, hosts)
    gevent.joinall([gevent.spawn(host.run) for host in hosts])


if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()
    main()
