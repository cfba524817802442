"""Framing of the peer protocol: a four-byte length prefix, then one message in MessagePack.

The highest bit of the length prefix marks a message that is compressed by zlib, with a preset
dictionary: messages are short, and traffic between failure domains is expensive.
"""

import struct
import zlib
from collections.abc import Callable

import msgspec

from pollenroad.exceptions import PeerError
from pollenroad.messages import Attempt, AttemptAnswer, PeerMessage, Request, Response
from pollenroad.relay_messages import DirectoryNews

MAX_FRAME_BYTES = 9_437_184
"""Longest accepted frame body, in bytes: the largest HTTP body of 8 MiB and its headers."""

COMPRESSED_FLAG = 0x8000_0000
"""Bit that is set in the length prefix of a compressed frame."""

COMPRESSED_PROTOCOL = 2
"""Lowest protocol version of a daemon that can read compressed frames."""

MIN_COMPRESSED_BYTES = 96
"""Length from which a message is compressed, in bytes; shorter ones gain little."""

_COMPRESSION_LEVEL = 1
_WINDOW_BITS = 12
"""Base-2 logarithm of the compression window: 4 KB, more than the length of most messages."""
_MEMORY_LEVEL = 5

_LENGTH = struct.Struct("!I")
LENGTH_PREFIX_BYTES = _LENGTH.size
"""Length of the prefix before the body of a frame, in bytes."""

LONG_FRAME_BYTES = 65_536
"""Length of a body, in bytes, above which its message is sent on a link for long frames."""

LONG_FRAMES_PROTOCOL = 3
"""Lowest protocol version of a daemon that accepts links for long frames."""

MAX_LONG_HEAD_BYTES = 262_144
"""Longest message, without its body, in a long frame, in bytes."""

_LONG_PREFIX = struct.Struct("!II")

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerMessage)


_FIELD_NAMES = (
    # LoadReport
    "service", "endpoint", "in_flight", "queued", "bound", "state", "service_ms", "sequence",
    "slowdown", "limit_per_s", "limit_wait_ms",
    # Response, AttemptAnswer, Request
    "status", "headers", "body", "attempt_id", "verdict", "reason", "response", "load",
    "retry_after_ms", "reached_server", "work_ms", "method", "path", "headers", "body",
    # Attempt
    "attempt_id", "request_id", "service", "customer", "request_class", "idempotent",
    "remaining_ms", "request", "number", "retry_budget", "depth", "config_version", "sent_ms",
    "incarnation", "caller", "objective_ms", "priority", "assumed_slowdown", "assumed_load",
    "usual_ms", "assumed_wait_ms", "known_limit_per_s",
)  # fmt: skip
"""Names of message fields in the preset dictionary. The dictionary is part of the protocol: daemons
of two builds with different ones cannot read each other's frames, so that names of later fields are
not added without a higher protocol version."""


def _dictionary() -> bytes:
    """Return the preset dictionary: names of message fields and of common headers."""
    headers = (
        "connection", "keep-alive", "accept", "*/*", "user-agent", "date", "server", "text/plain",
        "application/json", "application/octet-stream", "content-type", "host",
    )  # fmt: skip
    values = ("GET", "POST", "serving", "ran", "type", "answer", "attempt")
    # Encoded as in a message, so that the header byte before each name matches as well.
    return b"".join(_ENCODER.encode(text) for text in (*headers, *values, *_FIELD_NAMES))


_DICTIONARY = _dictionary()


def _compress(body: bytes) -> bytes:
    compressor = zlib.compressobj(
        _COMPRESSION_LEVEL, zlib.DEFLATED, -_WINDOW_BITS, _MEMORY_LEVEL, zdict=_DICTIONARY
    )
    return compressor.compress(body) + compressor.flush()


def _decompress(data: bytes, max_bytes: int, reserve: Callable[[int], None]) -> bytes:
    decompressor = zlib.decompressobj(-_WINDOW_BITS, zdict=_DICTIONARY)
    try:
        body = decompressor.decompress(data, min(max_bytes, LONG_FRAME_BYTES))
        if not decompressor.eof and max_bytes > LONG_FRAME_BYTES:
            reserve(max_bytes)  # How long the message is, only decompressing it shows.
            rest = decompressor.unconsumed_tail
            body += decompressor.decompress(rest, max_bytes - len(body))
    except zlib.error as error:
        raise PeerError(f"malformed frame: {error}") from error
    if not decompressor.eof:
        raise PeerError(f"compressed frame is cut off or over {max_bytes} bytes")
    return body


def encode_body(message: PeerMessage) -> bytes:
    """Return the body of a message's frame."""
    return _ENCODER.encode(message)


_last_update_by_compression: dict[bool, tuple[PeerMessage, bytes]] = {}
"""The last update of the directory and its frame: a watcher sends the same one to all daemons of
its failure domain, and with 10,000 workspaces its encoding takes 13 ms."""


def encode_frame(message: PeerMessage, compress: bool = False) -> bytes:
    """Return the frame of one message; see `_encode_frame`."""
    if not isinstance(message, DirectoryNews):
        return _encode_frame(message, compress)
    last, frame = _last_update_by_compression.get(compress, (None, b""))
    if last is not message:
        frame = _encode_frame(message, compress)
        _last_update_by_compression[compress] = message, frame
    return frame


def _encode_frame(message: PeerMessage, compress: bool) -> bytes:
    """Return the frame of one message.

    Args:
        message: The message.
        compress: Whether the receiver can read compressed frames.

    Raises:
        PeerError: If a value of the message cannot be encoded, or the frame would be too long.
    """
    try:
        body = encode_body(message)
    except (OverflowError, ValueError, TypeError, RecursionError) as error:
        raise PeerError(f"{type(message).__name__} cannot be encoded: {error}") from error
    if len(body) > MAX_FRAME_BYTES:
        raise PeerError(f"{type(message).__name__} of {len(body)} bytes, limit {MAX_FRAME_BYTES}")
    if compress and len(body) >= MIN_COMPRESSED_BYTES:
        compressed = _compress(body)
        if len(compressed) < len(body):
            return _LENGTH.pack(COMPRESSED_FLAG | len(compressed)) + compressed
    return _LENGTH.pack(len(body)) + body


def decode_message(body: bytes) -> PeerMessage:
    """Return the message in the body of a frame.

    Raises:
        PeerError: If the body is malformed.
    """
    try:
        return _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise PeerError(f"malformed message: {error}") from error


# --- Long frames: the body of a request or a response follows its message, without a copy ---


def body_of(message: PeerMessage) -> bytes:
    """Return the body of the request or response that a message carries; b"" for all others."""
    match message:
        case Attempt(request=Request(body=body)):
            return body
        case AttemptAnswer(response=Response(body=body)):
            return body
    return b""


def _replace_body(message: Attempt | AttemptAnswer, body: bytes) -> Attempt | AttemptAnswer:
    replace = msgspec.structs.replace
    if isinstance(message, Attempt):
        return replace(message, request=replace(message.request, body=body))
    return replace(message, response=replace(message.response, body=body))


def encode_long_head(message: Attempt | AttemptAnswer) -> bytes:
    """Return what precedes the body in a long frame: both lengths, and the message without it.

    Raises:
        PeerError: If a value of the message cannot be encoded, or the frame would be too long.
    """
    body_bytes = len(body_of(message))
    head = encode_frame(_replace_body(message, b""))[LENGTH_PREFIX_BYTES:]
    total = len(head) + body_bytes
    if total > MAX_FRAME_BYTES or len(head) > MAX_LONG_HEAD_BYTES:
        raise PeerError(f"{type(message).__name__} of {total} bytes, limit {MAX_FRAME_BYTES}")
    return _LONG_PREFIX.pack(len(head), body_bytes) + head


def read_long_head(stream) -> tuple[Attempt | AttemptAnswer, int] | None:
    """Read a long frame up to its body; return the message and the length of the body.

    Returns None at the end of the stream.

    Raises:
        PeerError: If the frame is too long, or carries another message.
    """
    prefix = _read_exactly(stream, _LONG_PREFIX.size)
    if prefix is None:
        return None
    head_bytes, body_bytes = _LONG_PREFIX.unpack(prefix)
    if head_bytes > MAX_LONG_HEAD_BYTES or head_bytes + body_bytes > MAX_FRAME_BYTES:
        raise PeerError(f"frame of {head_bytes + body_bytes} bytes, limit {MAX_FRAME_BYTES}")
    head = _read_exactly(stream, head_bytes)
    if head is None:
        return None
    match message := decode_message(head):
        case Attempt() | AttemptAnswer(response=Response()):
            return message, body_bytes
    raise PeerError(f"{type(message).__name__} in a long frame")


def read_long_body(stream, message: Attempt | AttemptAnswer, count: int):
    """Read the body of a long frame; return the message with it, or None at the stream's end."""
    body = _read_exactly(stream, count)
    return None if body is None else _replace_body(message, body)


def skip_long_body(stream, count: int) -> bool:
    """Read the body of a long frame and drop it; return False at the end of the stream."""
    while count:
        data = _read_exactly(stream, min(count, LONG_FRAME_BYTES))
        if data is None:
            return False
        count -= len(data)
    return True


# --- Reading ---


def _read_exactly(stream, count: int) -> bytes | None:
    data = stream.read(count)
    return data if len(data) == count else None


def read_body(
    stream,
    max_bytes: int = MAX_FRAME_BYTES,
    reserve: Callable[[int], None] = lambda count: None,
    reserve_unpacked: Callable[[int], None] = lambda count: None,
) -> bytes | None:
    """Read the body of one frame from a buffered binary stream.

    Args:
        stream: Object with a blocking `read(count)`.
        max_bytes: Longest accepted body, in bytes, before and after decompression.
        reserve: Called before a body over `LONG_FRAME_BYTES` is read, with the bytes that it takes.
        reserve_unpacked: The same before one is decompressed.

    Returns:
        The body, decompressed, or None at the end of the stream.

    Raises:
        PeerError: If the frame is too long, or its compressed body is malformed.
    """
    head = _read_exactly(stream, _LENGTH.size)
    if head is None:
        return None
    (field,) = _LENGTH.unpack(head)
    length = field & ~COMPRESSED_FLAG
    if length > max_bytes:
        raise PeerError(f"frame of {length} bytes, limit {max_bytes}")
    if length > LONG_FRAME_BYTES:
        reserve(length)
    data = _read_exactly(stream, length)
    if data is None or not field & COMPRESSED_FLAG:
        return data
    return _decompress(data, max_bytes, reserve_unpacked)


def read_message(stream, max_bytes: int = MAX_FRAME_BYTES) -> PeerMessage | None:
    """Read and decode one message; see `read_body`.

    Raises:
        PeerError: If the frame is too long or malformed.
    """
    body = read_body(stream, max_bytes)
    return None if body is None else decode_message(body)
