"""Frames on the peer link: a four-byte length, then one message in MessagePack.

The highest bit of the length says that the message is compressed by zlib, with a dictionary that
both ends know: messages are short, and bytes between failure domains are dear.
"""

import struct
import zlib

import msgspec

from pollenroad.exceptions import PeerError
from pollenroad.messages import Attempt, AttemptAnswer, LoadReport, PeerMessage, Request, Response

MAX_FRAME_BYTES = 9_437_184
"""Longest frame that is accepted, in bytes: the largest body and its headers."""

COMPRESSED = 0x8000_0000
"""Bit of the length field of a compressed frame."""

COMPRESSED_PROTOCOL = 2
"""Protocol version from which a daemon reads compressed frames."""

MIN_COMPRESSED_BYTES = 96
"""Shortest message that is compressed; shorter ones gain little."""

_LEVEL = 1
_WINDOW_BITS = 12
"""Window of the compression: 4 KB, which is more than most messages have."""
_MEMORY_LEVEL = 5

_LENGTH = struct.Struct("!I")
HEAD_BYTES = _LENGTH.size
"""Bytes of a frame before its body."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerMessage)


def _dictionary() -> bytes:
    """Return what most messages contain: the names of their fields and of common headers."""
    headers = (
        "connection", "keep-alive", "accept", "*/*", "user-agent", "date", "server", "text/plain",
        "application/json", "application/octet-stream", "content-type", "host",
    )  # fmt: skip
    kinds = (LoadReport, Response, AttemptAnswer, Request, Attempt)
    names = [field.encode_name for kind in kinds for field in msgspec.structs.fields(kind)]
    values = ("GET", "POST", "serving", "ran", "type", "answer", "attempt")
    # Packed as in a message, so that the byte before each name is found as well.
    return b"".join(_ENCODER.encode(text) for text in (*headers, *values, *names))


_DICTIONARY = _dictionary()


def _compress(body: bytes) -> bytes:
    packer = zlib.compressobj(
        _LEVEL, zlib.DEFLATED, -_WINDOW_BITS, _MEMORY_LEVEL, zdict=_DICTIONARY
    )
    return packer.compress(body) + packer.flush()


def _decompress(data: bytes, max_bytes: int) -> bytes:
    unpacker = zlib.decompressobj(-_WINDOW_BITS, zdict=_DICTIONARY)
    try:
        body = unpacker.decompress(data, max_bytes)
    except zlib.error as error:
        raise PeerError(f"malformed frame: {error}") from error
    if not unpacker.eof:
        raise PeerError(f"compressed frame is cut off or over {max_bytes} bytes")
    return body


def encode_body(message: PeerMessage) -> bytes:
    """Return the body of a message's frame."""
    return _ENCODER.encode(message)


def encode_frame(message: PeerMessage, compresses: bool = False) -> bytes:
    """Return the frame of one message.

    Args:
        message: The message.
        compresses: Whether the receiver reads compressed frames.
    """
    body = encode_body(message)
    if compresses and len(body) >= MIN_COMPRESSED_BYTES:
        packed = _compress(body)
        if len(packed) < len(body):
            return _LENGTH.pack(COMPRESSED | len(packed)) + packed
    return _LENGTH.pack(len(body)) + body


def decode_message(body: bytes) -> PeerMessage:
    """Return the message in the body of a frame.

    Raises:
        PeerError: If the body is not a well-formed message.
    """
    try:
        return _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise PeerError(f"malformed message: {error}") from error


def _read_exactly(stream, count: int) -> bytes | None:
    data = stream.read(count)
    return data if len(data) == count else None


def read_body(stream, max_bytes: int = MAX_FRAME_BYTES) -> bytes | None:
    """Read the body of one frame from a buffered binary stream.

    Args:
        stream: Anything with a blocking `read(count)`.
        max_bytes: Longest frame to accept.

    Returns:
        The body, or None at the end of the stream.

    Raises:
        PeerError: If the frame is too long.
    """
    head = _read_exactly(stream, _LENGTH.size)
    if head is None:
        return None
    (field,) = _LENGTH.unpack(head)
    length = field & ~COMPRESSED
    if length > max_bytes:
        raise PeerError(f"frame of {length} bytes, limit {max_bytes}")
    data = _read_exactly(stream, length)
    if data is None or not field & COMPRESSED:
        return data
    return _decompress(data, max_bytes)


def read_message(stream, max_bytes: int = MAX_FRAME_BYTES) -> PeerMessage | None:
    """Read and decode one message; as `read_body` otherwise.

    Raises:
        PeerError: If the frame is too long or not well formed.
    """
    body = read_body(stream, max_bytes)
    return None if body is None else decode_message(body)
