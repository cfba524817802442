"""Base class and field types of the messages between daemons."""

from typing import Annotated

import msgspec
from msgspec import Meta

ITEMS_PER_MESSAGE = 512
"""Maximum number of items in one message about documents or VMs."""

ShortText = Annotated[str, Meta(max_length=256)]
DocumentBytes = Annotated[bytes, Meta(max_length=1_048_576)]


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """Base class of all messages on peer links."""
