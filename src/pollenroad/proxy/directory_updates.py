"""Updates of the directory as messages between daemons, and as events of a daemon's cores."""

from pollenroad.proxy.boundary import (
    DirectoryChanged,
    DirectoryEvent,
    DirectoryRead,
    EndpointRemoved,
    Position,
)
from pollenroad.published import Configuration, DomainOut, RegisteredEndpoint
from pollenroad.relay_messages import Bulletin, DirectoryNews


def update_of(event: DirectoryChanged, lost_ago_s: float) -> DirectoryNews:
    """Return the message with these changes; the last of several changes to one key wins.

    Only what an endpoint said before its registration ended is kept if it left: its end is then no
    lapse. Its receiver applies registrations first.
    """
    endpoint_by_incarnation: dict[str, RegisteredEndpoint] = {}
    removed: set[str] = set()
    domain_by_name: dict[str, DomainOut] = {}
    configuration = None
    for item in event.items:
        match item:
            case Configuration() if configuration is None or item.version > configuration.version:
                configuration = item
            case RegisteredEndpoint():
                endpoint_by_incarnation[item.incarnation] = item
                removed.discard(item.incarnation)
            case EndpointRemoved(incarnation):
                removed.add(incarnation)
            case DomainOut():
                domain_by_name[item.failure_domain] = item
    stated = endpoint_by_incarnation.values()
    return DirectoryNews(
        after=event.after,
        revision=event.revision,
        configuration=configuration,
        endpoints=tuple(e for e in stated if e.is_leaving or e.incarnation not in removed),
        removed=tuple(sorted(removed)),
        domains=tuple(domain_by_name.values()),
        lost_ago_s=min(1e9, lost_ago_s),
        epoch=event.epoch,
    )


def position_of(message: Bulletin | DirectoryNews) -> Position:
    """Return the position that a message states."""
    return Position(message.epoch, message.revision)


def event_of(update: DirectoryNews, peer: str) -> DirectoryEvent:
    """Return the event for an update from a peer."""
    return _read_of(update, peer) if update.is_whole else _changed_of(update, peer)


def _changed_of(update: DirectoryNews, peer: str) -> DirectoryChanged:
    items = (
        *((update.configuration,) if update.configuration else ()),
        *update.endpoints,
        *(EndpointRemoved(name) for name in update.removed),
        *update.domains,
    )
    return DirectoryChanged(
        update.revision, items, update.after, peer, update.lost_ago_s, update.epoch
    )


def _read_of(update: DirectoryNews, peer: str) -> DirectoryRead:
    return DirectoryRead(
        revision=update.revision,
        configuration=update.configuration,
        endpoint_by_incarnation={e.incarnation: e for e in update.endpoints},
        out_domains=frozenset(d.failure_domain for d in update.domains if d.is_out),
        peer=peer,
        lost_ago_s=update.lost_ago_s,
        epoch=update.epoch,
    )
