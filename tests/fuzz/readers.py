"""Reads and watches of the fake platform by the fuzzed daemons."""

from pollenroad.boundary import PlatformFailed, PlatformRequest, WatchPlatform

from .nodes import Node

READ_S = 0.005


class Readers:
    """Answers the daemons' requests to the platform, each after a while.

    Args:
        world: Where answers are posted.
        platform: The fake platform, or None where there is none.
    """

    def __init__(self, world, platform):
        self._world = world
        self._platform = platform
        self._watch_by_vm: dict[str, tuple[int, WatchPlatform, float]] = {}

    def read(self, node: Node, request: PlatformRequest) -> None:
        world = self._world
        if self._platform.down:
            world.post_later(READ_S, node.vm, PlatformFailed(request, "down"))
        elif isinstance(request, WatchPlatform):
            self._watch_by_vm[node.vm] = (node.starts, request, world.now + request.timeout_s)
        else:
            world.post_later(READ_S, node.vm, self._platform.answer(request))

    def forget(self, vm: str) -> None:
        """Drop the watch of a process that ended."""
        self._watch_by_vm.pop(vm, None)

    def ends(self) -> list[float]:
        """Return when the open watches end."""
        return [until for _, _, until in self._watch_by_vm.values()]

    def serve(self) -> None:
        """Answer the watches that have ended."""
        for vm, (starts, request, until) in list(self._watch_by_vm.items()):
            if self._platform.down:
                event = PlatformFailed(request, "down")
            elif self._platform.view()[0] > request.after or self._world.now >= until:
                event = self._platform.answer(request)
            else:
                continue
            del self._watch_by_vm[vm]
            if self._world.node_by_vm[vm].starts == starts:
                self._world.post_later(READ_S, vm, event)
