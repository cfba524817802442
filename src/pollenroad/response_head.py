"""Definition of a valid HTTP/1 response head, used wherever responses are read.

Load: one head for each response and each response from a peer, up to a few thousand a second; the
cost is linear in the length of the head. No I/O.

The grammar is that of RFC 9112 (status line, framing) and RFC 9110 (field names and values). A head
that violates it is rejected rather than repaired: another reader of the same bytes could see other
fields or another body.
"""

import re
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from pollenroad.exceptions import MalformedResponse

VERSIONS = frozenset({"1.0", "1.1"})

MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599

SWITCHING_PROTOCOLS = 101
"""Status that no request of ours asks for: what follows it would not be HTTP."""

MAX_INTERIM = 8
"""Most interim responses (status below 200) before a response."""

MAX_FIELDS = 256
"""Most fields of a head or of trailers: each takes far more memory than its octets."""

MAX_LENGTH_DIGITS = 20
"""Longest Content-Length, in digits, as in h11."""

SHOWN_CHARACTERS = 64
"""Longest part of a malformed head that an error message shows."""

Field = tuple[str, str]
"""Name and value, decoded as Latin-1."""

_STATUS_LINE = re.compile(r"HTTP/([0-9]\.[0-9]) ([0-9]{3})(?: (.*))?", re.DOTALL)
_FIELD_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_FIELD_VALUE = re.compile(r"[\t -~\x80-\xff]*")
_DIGITS = re.compile(rf"[0-9]{{1,{MAX_LENGTH_DIGITS}}}")
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[\t -~\x80-\xff]*)?[\t ]*\r?\n")


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """A valid head."""

    version: str
    """`1.0` or `1.1`."""
    status: int
    fields: tuple[Field, ...]
    """Without whitespace around values; repetitions of an equal Content-Length are left out."""

    @property
    def is_interim(self) -> bool:
        """Whether another head follows, for the same request."""
        return self.status < MIN_FINAL_STATUS

    def encode(self) -> bytes:
        """Return the head as bytes, without a reason phrase."""
        lines = [f"HTTP/{self.version} {self.status}", *(f"{n}: {v}" for n, v in self.fields)]
        return "".join(f"{line}\r\n" for line in (*lines, "")).encode("latin-1")


def make_head(version: str, status: int, reason: str, fields: Iterable[Field]) -> ResponseHead:
    """Return the head with these parts.

    Raises:
        MalformedResponse: If it is not valid; states the reason.
    """
    if version not in VERSIONS:
        raise MalformedResponse(f"version {_shown(version)}")
    if not MIN_STATUS <= status <= MAX_STATUS or status == SWITCHING_PROTOCOLS:
        raise MalformedResponse(f"status {status:03}")
    if not _FIELD_VALUE.fullmatch(reason):
        raise MalformedResponse(f"reason phrase {_shown(reason)}")
    pairs = tuple((name, value.strip(" \t")) for name, value in fields)
    check_fields(pairs)
    return ResponseHead(version, status, tuple(_with_one_length(pairs)))


def parse_head(lines: Sequence[bytes]) -> ResponseHead:
    """Return the head that consists of these lines, given without their line ends.

    Raises:
        MalformedResponse: If it is not valid; states the reason.
    """
    status_line = lines[0].decode("latin-1") if lines else ""
    match = _STATUS_LINE.fullmatch(status_line)
    if match is None:
        raise MalformedResponse(f"status line {_shown(status_line)}")
    version, status, reason = match.groups("")
    return make_head(version, int(status), reason, parse_fields(lines[1:]))


def parse_fields(lines: Iterable[bytes]) -> list[Field]:
    """Return the fields of these lines.

    A folded value is joined by a space (RFC 9112, section 5.2).

    Raises:
        MalformedResponse: If a line is no field line.
    """
    fields: list[Field] = []
    for line in lines:
        text = line.decode("latin-1")
        if text[:1] in (" ", "\t") and fields:
            name, value = fields.pop()
            fields.append((name, " ".join((value, text.strip(" \t")))))
            continue
        name, colon, value = text.partition(":")
        if not colon:
            raise MalformedResponse(f"field line {_shown(text)}")
        fields.append((name, value.strip(" \t")))
    return fields


def check_response(status: int, fields: Sequence[Field], body_bytes: int) -> None:
    """Check a final response whose body is complete, and which its fields must not frame otherwise.

    Args:
        status: Its status.
        fields: Its fields.
        body_bytes: Length of its body.

    Raises:
        MalformedResponse: If it is not valid; states the reason.
    """
    if not MIN_FINAL_STATUS <= status <= MAX_STATUS:
        raise MalformedResponse(f"status {status:03}")
    check_fields(fields)
    for name, value in fields:
        match name.lower():
            case "transfer-encoding":
                raise MalformedResponse("Transfer-Encoding of a complete body")
            # The response to a HEAD request states the length of a body that it does not have.
            case "content-length" if body_bytes and value.strip(" \t") != str(body_bytes):
                raise MalformedResponse(f"{body_bytes} bytes, Content-Length {_shown(value)}")


def check_fields(fields: Iterable[Field]) -> None:
    """Check names, values and framing of the fields of a head or of trailers.

    Raises:
        MalformedResponse: If one of them is not valid; states the reason.
    """
    lengths, codings = set(), []
    for number, (name, value) in enumerate(fields):
        if number >= MAX_FIELDS:
            raise MalformedResponse(f"more than {MAX_FIELDS} fields")
        if not _FIELD_NAME.fullmatch(name):
            raise MalformedResponse(f"field name {_shown(name)}")
        if not _FIELD_VALUE.fullmatch(value):
            raise MalformedResponse(f"value of {_shown(name)}: {_shown(value)}")
        match name.lower():
            case "content-length":
                lengths |= {length.strip(" \t") for length in value.split(",")}
            case "transfer-encoding":
                codings.append(value.strip(" \t").lower())
    if lengths and codings:
        raise MalformedResponse("both Content-Length and Transfer-Encoding")
    if len(lengths) > 1 or not all(map(_DIGITS.fullmatch, lengths)):
        raise MalformedResponse(f"Content-Length {_shown(', '.join(sorted(lengths)))}")
    if codings not in ([], ["chunked"]):
        raise MalformedResponse(f"Transfer-Encoding {_shown(', '.join(codings))}")


def chunk_length(line: bytes) -> int:
    """Return the length that the first line of a chunk states, in bytes.

    Args:
        line: The line with its end; without it, the stream broke off.

    Raises:
        MalformedResponse: If it is not valid.
    """
    match = _CHUNK_LINE.fullmatch(line)
    if match is None:
        raise MalformedResponse(f"chunk size {_shown(line.decode('latin-1'))}")
    return int(match[1], 16)


def _with_one_length(fields: Iterable[Field]) -> Iterator[Field]:
    has_length = False
    for name, value in fields:
        if name.lower() != "content-length":
            yield name, value
        elif not has_length:
            has_length = True
            yield name, value.partition(",")[0].strip(" \t")


def _shown(text: str) -> str:
    return repr(text[:SHOWN_CHARACTERS])
