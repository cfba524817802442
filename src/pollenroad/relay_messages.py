"""Messages between daemons about documents, VMs, and what the platform holds."""

from typing import Annotated

from msgspec import Meta

from pollenroad.message import ITEMS_PER_MESSAGE, DocumentBytes, Message, ShortText
from pollenroad.published import Configuration, DomainOut, RegisteredEndpoint


class DocumentDigest(Message):
    """Which version of a document its sender has in force."""

    key: ShortText
    version: int
    digest: Annotated[bytes, Meta(max_length=32)]


class VmStatus(Message):
    """What daemons observed of a VM. The highest incarnation wins, then the gravest state."""

    vm: ShortText
    incarnation: int
    """Grows when the VM's daemon restarts, and when it refutes that it is dead."""
    state: ShortText
    """`alive`, `leaving`, `dead`, or `gone` where it left and is not heard any more."""


class VmListing(Message):
    """What the platform's list says of a VM, where that differs from `live`."""

    vm: ShortText
    state: ShortText
    """`live` or `leaving`."""
    revision: int
    """Revision of the list; the highest wins."""


class Heartbeat(Message, tag="heartbeat"):
    """The sender is alive; with it go marks by which daemons see that they hold the same."""

    vm: ShortText
    incarnation: int
    failure_domain: ShortText = ""
    documents: int = 0
    """Fingerprint of the keys and versions in force."""
    statuses: int = 0
    """Fingerprint of what is known of VMs."""
    platform_age_s: Annotated[float, Meta(ge=0)] = 1e9
    """Seconds since any daemon, as far as the sender knows, read the platform."""
    joining: bool = False
    """Whether the sender still collects documents and takes no work."""
    is_neighbour: bool = True
    """Whether the sender counts the receiver among its neighbours."""


class AskDigests(Message, tag="ask-digests"):
    """Asks for all digests and statuses that the receiver holds."""


class Announce(Message, tag="announce"):
    """Documents that the sender has in force."""

    digests: Annotated[tuple[DocumentDigest, ...], Meta(max_length=ITEMS_PER_MESSAGE)] = ()
    complete: bool = False
    """Whether this ends the answer to an `AskDigests`."""
    joining: bool = False


class FetchDocuments(Message, tag="fetch"):
    """Asks for documents by key."""

    keys: Annotated[tuple[ShortText, ...], Meta(max_length=ITEMS_PER_MESSAGE)]


class DocumentCopy(Message, tag="document"):
    """A document as the platform published it."""

    key: ShortText
    data: DocumentBytes


class VmNews(Message, tag="vm-news"):
    """News of VMs, passed on by each daemon that did not know it."""

    statuses: Annotated[tuple[VmStatus, ...], Meta(max_length=ITEMS_PER_MESSAGE)] = ()
    listings: Annotated[tuple[VmListing, ...], Meta(max_length=ITEMS_PER_MESSAGE)] = ()


class Suspect(Message, tag="suspect"):
    """The sender misses heartbeats of a VM and asks another monitor of it."""

    vm: ShortText


class Opinion(Message, tag="opinion"):
    """Answer of a monitor to `Suspect`."""

    vm: ShortText
    heard_ago_s: Annotated[float, Meta(ge=0)]
    """Time since the sender last heard the VM, in seconds."""
    suspects: bool


class DirectoryNews(Message, tag="directory"):
    """What the platform holds of routes and endpoints, or what changed there."""

    after: int
    """Revision on top of which the changes apply."""
    revision: int
    is_whole: bool = False
    """Whether this is everything, in place of changes."""
    configuration: Configuration | None = None
    endpoints: tuple[RegisteredEndpoint, ...] = ()
    removed: tuple[str, ...] = ()
    """Incarnations whose registration ended."""
    domains: tuple[DomainOut, ...] = ()
    lost_ago_s: float = 1e9
    """Time since the sender last failed to read the platform, in seconds."""


class Bulletin(Message, tag="bulletin"):
    """The sender watches the platform for others, up to a revision."""

    revision: int
    has_platform: bool
    """Whether its last read of the platform succeeded."""


class AskDirectory(Message, tag="ask-directory"):
    """Asks for everything that the platform holds, as far as the receiver knows."""
