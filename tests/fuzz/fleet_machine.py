"""The stateful machine of whole daemons, whose relays learn documents and VMs."""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import rule

from pollenroad.models import ServiceDocument
from tests.relay_fleet import FakePlatform

from .documents import SERVICE, VMS, service_document, vm_states
from .machines import Machine
from .strategies import SOME_DOMAINS, SOME_VMS
from .world import World

JOINED_S = 4.0
"""Time in which all daemons of a new fleet take work, in seconds."""

IN_FORCE_S = 16.0
"""Time in which a change is to be in force everywhere, in seconds."""


class FleetMachine(Machine):
    """Whole daemons: relays learn documents and VMs from a platform and from each other."""

    def make_world(self, seed):
        platform = FakePlatform()
        platform.vms = list(vm_states())
        self.version = 0
        world = World(seed, platform)
        self.world = world
        self._publish(service_document(self._next_version()))
        for vm in VMS:
            world.start(vm)
        world.advance(JOINED_S)
        return world

    def _next_version(self) -> int:
        self.version += 1
        return self.version

    def _publish(self, document: ServiceDocument) -> None:
        self.world.published.add(document)
        self.world.platform.publish(msgspec.json.encode(document))

    @rule(domains=SOME_DOMAINS, vms=SOME_VMS)
    def publish(self, domains, vms):
        self._publish(service_document(self._next_version(), sorted(domains), sorted(vms)))

    @rule(slots=st.sampled_from((0, -1, 10**9)), connections=st.sampled_from((0, 50)))
    def publish_invalid(self, slots, connections):
        document = service_document(self._next_version(), slots=slots, connections=connections)
        if slots <= 0 or connections <= 0:
            self.world.platform.publish(msgspec.json.encode(document))

    @rule(back=st.integers(1, 3), domains=SOME_DOMAINS)
    def publish_older(self, back, domains):
        version = max(1, self.version - back)
        self._publish(service_document(version, sorted(domains)))

    @rule(domains=SOME_DOMAINS)
    def publish_conflicting(self, domains):
        self._publish(service_document(self.version, sorted(domains), subset_size=7))

    @rule(down=st.booleans(), stale=st.booleans())
    def platform_fault(self, down, stale):
        platform = self.world.platform
        platform.down = down
        if stale:
            platform.freeze()
        else:
            platform.frozen = None

    @rule(leaving=SOME_VMS)
    def list_vms(self, leaving):
        platform = self.world.platform
        platform.vms = list(vm_states(leaving))
        platform.revision += 1

    def be_whole(self):
        world = self.world
        world.platform.down = False
        world.platform.frozen = None
        held = [n.cores.relay.configuration.version(SERVICE) for n in world.node_by_vm.values()]
        self._newest = max([*held, self._published_version()])
        world.advance(IN_FORCE_S)
        told = world.oracle.told_by_vm.values()
        out = [told.out_vms for told in told]
        if all(one == out[0] for one in out):
            world.oracle.out_everywhere = out[0]
        states = world.platform.vms
        world.oracle.leaving_everywhere = frozenset(v.name for v in states if v.state == "leaving")

    def _published_version(self) -> int:
        data = self.world.platform.data_by_key[SERVICE]
        try:
            document = msgspec.json.decode(data, type=ServiceDocument)
        except msgspec.ValidationError:
            return 0
        return document.version

    def newest(self):
        return self._newest
