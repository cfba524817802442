"""urllib3 connections that accept only answers with a complete head.

`http.client` takes the end of the stream for the end of the head. An answer that breaks off in its
head would be a complete one without a body, or without the fields that were still to come.
"""

import http.client

from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool


class _HeadReader:
    """Reads the lines of a head.

    Args:
        stream: Buffered binary stream of the connection.
    """

    def __init__(self, stream):
        self._stream = stream
        self._has_lines = False

    def readline(self, limit: int = -1) -> bytes:
        """Return one line, or nothing if the stream ends before the first one.

        Raises:
            http.client.IncompleteRead: If the stream ends within the head.
        """
        line = self._stream.readline(limit)
        is_cut = not line.endswith(b"\n") and (limit < 0 or len(line) < limit)
        if is_cut and (line or self._has_lines):
            raise http.client.IncompleteRead(line)
        self._has_lines = True
        return line

    def close(self) -> None:
        """Close the stream."""
        self._stream.close()


class StrictResponse(http.client.HTTPResponse):
    """An answer whose head must be complete."""

    def begin(self) -> None:
        """Read the head.

        Raises:
            http.client.IncompleteRead: If the stream ends within it.
        """
        stream = self.fp
        self.fp = _HeadReader(stream)
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = stream


class StrictConnection(HTTPConnection):
    """A connection whose answers must have complete heads."""

    response_class = StrictResponse


class StrictConnectionPool(HTTPConnectionPool):
    """A pool of such connections."""

    ConnectionCls = StrictConnection
