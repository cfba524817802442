"""Strict parser of the header block of a caller's request, by RFC 9112 section 5.

The parser of http.client uses the email package, which takes more time than the rest of the request
and accepts input that an HTTP server must reject. `HeaderBlock` has the attributes that pywsgi
expects of a handler's `MessageClass`.
"""

import re
from collections.abc import Iterator

MAX_HEADER_BYTES = 16_384
"""Default maximum size of a header block, in bytes."""

MAX_HEADERS = 100
"""Maximum number of header fields in a block."""

_FIELD_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_SINGLETON_FIELDS = frozenset({"content-length", "transfer-encoding", "host"})


class HeaderBlock:
    """Header fields by lower-case name, in the order received."""

    status = ""

    def __init__(self):
        self._values_by_name: dict[str, list[str]] = {}

    def add(self, name: str, value: str) -> None:
        """Add one field.

        Raises:
            ValueError: If a field that may occur only once is repeated.
        """
        values = self._values_by_name.setdefault(name.lower(), [])
        values.append(value)
        if len(values) > 1 and name.lower() in _SINGLETON_FIELDS:
            raise ValueError(f"duplicate header field {name}")

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a field, or `default`."""
        values = self._values_by_name.get(name.lower())
        return values[0] if values else default

    getheader = get

    @property
    def typeheader(self) -> str | None:
        """Value of Content-Type, or None."""
        return self.get("content-type")

    @property
    def headers(self) -> Iterator[str]:
        """Header lines of all fields."""
        for name, values in self._values_by_name.items():
            for value in values:
                yield f"{name}: {value}\r\n"

    def __delitem__(self, name: str) -> None:
        self._values_by_name.pop(name.lower(), None)

    def __contains__(self, name: str) -> bool:
        return name.lower() in self._values_by_name


def read_header_block(stream, max_bytes: int = MAX_HEADER_BYTES) -> HeaderBlock:
    """Read the header fields of a request up to the empty line.

    Args:
        stream: The caller's connection, as a buffered binary stream.
        max_bytes: Maximum size of the block, in bytes.

    Raises:
        ValueError: If a line is malformed or folded, the framing is ambiguous, a field is repeated
            that may occur only once, or the block is too large.
    """
    block = HeaderBlock()
    size = 0
    count = 0
    while (line := stream.readline(max_bytes + 1)) not in (b"\r\n", b"\n"):
        size += len(line)
        count += 1
        if size > max_bytes or count > MAX_HEADERS:
            raise ValueError(f"header block exceeds {max_bytes} bytes or {MAX_HEADERS} fields")
        name, colon, value = line.decode("latin-1").partition(":")
        if not colon or not line.endswith(b"\n") or not _FIELD_NAME.fullmatch(name):
            raise ValueError("malformed header line")
        block.add(name, value.strip())
    if "content-length" in block and "transfer-encoding" in block:
        raise ValueError("request has both Content-Length and Transfer-Encoding")
    return block
