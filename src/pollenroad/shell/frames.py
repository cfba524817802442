"""Frames on the peer link: a four-byte length, then one message in MessagePack."""

import struct

import msgspec

from pollenroad.exceptions import PeerError
from pollenroad.messages import PeerMessage

MAX_FRAME_BYTES = 9_437_184
"""Longest frame that is accepted, in bytes: the largest body and its headers."""

_LENGTH = struct.Struct("!I")
HEAD_BYTES = _LENGTH.size
"""Bytes of a frame before its body."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerMessage)


def encode_body(message: PeerMessage) -> bytes:
    """Return the body of a message's frame."""
    return _ENCODER.encode(message)


def encode_frame(message: PeerMessage) -> bytes:
    """Return the frame of one message."""
    body = encode_body(message)
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
    (length,) = _LENGTH.unpack(head)
    if length > max_bytes:
        raise PeerError(f"frame of {length} bytes, limit {max_bytes}")
    return _read_exactly(stream, length)


def read_message(stream, max_bytes: int = MAX_FRAME_BYTES) -> PeerMessage | None:
    """Read and decode one message; as `read_body` otherwise.

    Raises:
        PeerError: If the frame is too long or not well formed.
    """
    body = read_body(stream, max_bytes)
    return None if body is None else decode_message(body)
