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
    """Return the message with these changes; the last of several changes to one key wins."""
    endpoint_by_incarnation: dict[str, RegisteredEndpoint | None] = {}
    domain_by_name: dict[str, DomainOut] = {}
    configuration = None
    for item in event.items:
        match item:
            case Configuration():
                configuration = item
            case RegisteredEndpoint():
                endpoint_by_incarnation[item.incarnation] = item
            case EndpointRemoved(incarnation):
                endpoint_by_incarnation[incarnation] = None
            case DomainOut():
                domain_by_name[item.failure_domain] = item
    return DirectoryNews(
        after=event.after,
        revision=event.revision,
        configuration=configuration,
        endpoints=tuple(e for e in endpoint_by_incarnation.values() if e is not None),
        removed=tuple(name for name, e in endpoint_by_incarnation.items() if e is None),
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
