"""What every message between daemons is made of."""

from typing import Annotated

import msgspec
from msgspec import Meta

ITEMS_PER_MESSAGE = 512
"""Entries in one message about documents or VMs, at the most."""

ShortText = Annotated[str, Meta(max_length=256)]
DocumentBytes = Annotated[bytes, Meta(max_length=1_048_576)]


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """Base of every message on the peer link."""
