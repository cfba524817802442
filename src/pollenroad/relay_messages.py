"""Messages between daemons about documents, VMs, and the platform's directory."""

from typing import Annotated

from msgspec import Meta

from pollenroad.base_message import ITEMS_PER_MESSAGE, DocumentBytes, Message, ShortText
from pollenroad.published import Configuration, DomainOut, RegisteredEndpoint


class DocumentDigest(Message):
    """Version and digest of a document that the sender has in force."""

    key: ShortText
    version: int
    digest: Annotated[bytes, Meta(max_length=32)]


class VmStatus(Message):
    """State of a VM as observed by daemons.

    Of two statuses, the one with the higher incarnation wins; at equal incarnations, the one with
    the more severe state.
    """

    vm: ShortText
    incarnation: int
    """Increases when the VM's daemon restarts, and when it refutes a report of its death."""
    state: ShortText
    """`alive`, `leaving`, `dead`, or `gone` (it left and sends no more heartbeats)."""


class VmListing(Message):
    """State of a VM in the platform's list, sent if it is or was other than `live`."""

    vm: ShortText
    state: ShortText
    """`live` or `leaving`."""
    revision: int
    """Revision of the list; the highest revision wins."""


class Heartbeat(Message, tag="heartbeat"):
    """The sender is alive; its fingerprints show whether sender and receiver hold the same data."""

    vm: ShortText
    incarnation: int
    failure_domain: ShortText = ""
    documents: int = 0
    """Fingerprint of the keys and versions of the documents in force."""
    statuses: int = 0
    """Fingerprint of the VM statuses and listings that the sender holds."""
    platform_age_s: Annotated[float, Meta(ge=0)] = 1e9
    """Time since the latest known read of the platform by any daemon, in seconds."""
    joining: bool = False
    """Whether the sender is still collecting documents and takes no work yet."""
    is_neighbour: bool = True
    """Whether the sender counts the receiver among its neighbours."""


class AskDigests(Message, tag="ask-digests"):
    """Request for all digests and statuses that the receiver holds."""


class Announce(Message, tag="announce"):
    """Documents that the sender has in force."""

    digests: Annotated[tuple[DocumentDigest, ...], Meta(max_length=ITEMS_PER_MESSAGE)] = ()
    complete: bool = False
    """Whether this is the last message of the answer to an `AskDigests`."""
    joining: bool = False


class FetchDocuments(Message, tag="fetch"):
    """Request for documents by key."""

    keys: Annotated[tuple[ShortText, ...], Meta(max_length=ITEMS_PER_MESSAGE)]


class DocumentCopy(Message, tag="document"):
    """A document, byte for byte as the platform published it."""

    key: ShortText
    data: DocumentBytes


class VmNews(Message, tag="vm-news"):
    """Updates of VM states. A daemon forwards the updates that were new to it."""

    statuses: Annotated[tuple[VmStatus, ...], Meta(max_length=ITEMS_PER_MESSAGE)] = ()
    listings: Annotated[tuple[VmListing, ...], Meta(max_length=ITEMS_PER_MESSAGE)] = ()


class Suspect(Message, tag="suspect"):
    """The sender misses heartbeats of a VM and asks another monitor of that VM for its view."""

    vm: ShortText


class Opinion(Message, tag="opinion"):
    """A monitor's answer to `Suspect`."""

    vm: ShortText
    heard_ago_s: Annotated[float, Meta(ge=0)]
    """Time since the sender last received a heartbeat of the VM, in seconds."""
    suspects: bool


class DirectoryNews(Message, tag="directory"):
    """Contents of the platform's directory, in full or as changes."""

    after: int
    """Revision to which the changes apply."""
    revision: int
    is_whole: bool = False
    """Whether this is the full directory rather than changes."""
    configuration: Configuration | None = None
    endpoints: tuple[RegisteredEndpoint, ...] = ()
    removed: tuple[str, ...] = ()
    """Incarnations of the endpoints whose registration ended."""
    domains: tuple[DomainOut, ...] = ()
    lost_ago_s: float = 1e9
    """Time since the sender's last failure to read the platform, in seconds."""
    epoch: int = 0
    """Epoch of `after` and `revision`, which rises when the platform comes back from a copy."""


class Bulletin(Message, tag="bulletin"):
    """Announcement by a watcher, which reads the platform on behalf of other daemons."""

    revision: int
    """Latest revision that the sender has read."""
    has_platform: bool
    """Whether the sender's last read of the platform succeeded."""
    epoch: int = 0
    """Epoch of the revision."""
    config_version: int = 0
    """Version of the configuration that the sender has in force."""


class AskDirectory(Message, tag="ask-directory"):
    """Request for the full directory as the receiver knows it."""
