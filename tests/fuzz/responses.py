"""`python -m tests.fuzz.responses`: seeded fuzzing of the readers of responses, without a network.

Each case is a response whose parts are known, of which a part arrives, in pieces, before the
connection ends in one of several ways. What a reader must return follows from how the case was
made, not from another parser. With `--cases 1000000` it searches longer than the tests do.
"""

import argparse
import contextlib
import errno
import io
import random
import re
import socket
import sys
import time
from collections import Counter
from dataclasses import dataclass
from http.client import HTTPException
from unittest import mock

from urllib3.exceptions import HTTPError

from pollenroad.exceptions import ExchangeError
from pollenroad.proxy import http1
from pollenroad.strict_http import StrictConnection

FIN, RESET, HIDDEN_RESET, SENDER_RESET = "fin", "reset", "hidden-reset", "sender-reset"
ENDS = (FIN, FIN, RESET, HIDDEN_RESET, SENDER_RESET)
"""How a connection ends: with a FIN, or a reset that the read sees, that only SO_ERROR states, or
that the sending of the request received."""

LONG_UPLOAD = b"u" * http1.SEPARATE_SEND_BYTES
BODILESS_STATUSES = (204, 304)
STATUSES = (200, 200, 200, 201, 404, 429, 500, 503, 599, *BODILESS_STATUSES)
NAMES = (b"X-Note", b"Date", b"Server", b"X_1.2~", b"Set-Cookie", b"Retry-After")
VALUES = (b"", b"v", b"a b", b"1, 2", b"Zo\xe9", b"\xff\x80", b"a\tb", b'"quoted: yes"')
REASONS = (b"", b" ", b" OK", b" Not\xe9 Known")
CORRUPT_STATUS_LINES = (
    b"HTTP/9.9 200 OK", b"HTTP/1.2 200 OK", b"HTTP/1.1 000 OK", b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK", b"HTTP/1.1 20 OK", b"HTTP/1.1  200 OK", b"HTTP/1.1", b"200 OK",
    b"HTTP/1.1 101 Switching", b"\x00HTTP/1.1 200 OK", b"HTTP/1.1 200 O\x07K",
)  # fmt: skip
CORRUPT_FIELDS = (
    b"A b: v", b"A : v", b"A\x00: v", b"A\x1f: v", b"A\x7f: v", b"A\xe9: v", b": v", b"no colon",
    b"A(: v", b"A: v\x00", b"A: \x01v", b"A: v\x7fv", b"A: a\rb", b"Content-Length: x",
    b"Content-Length: -1", b"Content-Length: 1, 2", b"Content-Length:", b"Transfer-Encoding: gzip",
    b"Transfer-Encoding: gzip, chunked", b"Transfer-Encoding: ",
    b"Content-Length: 1\r\nTransfer-Encoding: chunked", b"Content-Length: 1\r\nContent-Length: 2",
)  # fmt: skip
VALID_FIELD = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*")


@dataclass(frozen=True)
class Case:
    """A response, how much of it arrives, and how its connection ends."""

    kind: str
    """`whole`, `cut`, `corrupt`, or `noise`, in which single octets are replaced."""
    method: str
    status: int
    body: bytes
    data: bytes
    """All bytes of the response, with interim ones."""
    body_start: int
    ends_with_connection: bool
    cut: int
    """Number of bytes that arrive."""
    end: str
    piece_bytes: int

    def expected(self) -> tuple[int, bytes] | None:
        """Return status and body that a reader must return, or None if it must reject them."""
        if self.kind == "corrupt" or self.cut < self.body_start:
            return None
        if self.ends_with_connection:
            part = self.data[self.body_start : self.cut]
            return (self.status, part) if self.end == FIN else None
        return (self.status, self.body) if self.cut == len(self.data) else None


def make_case(seed: int, number: int) -> Case:
    """Return the case with this number; equal arguments give equal cases."""
    rng = random.Random(f"{seed}:{number}")
    kind = rng.choice(("whole", "cut", "cut", "corrupt", "noise"))
    method = rng.choice(("GET", "POST", "POST", "HEAD"))
    status = rng.choice(STATUSES)
    body = rng.randbytes(rng.choice((0, 0, 1, 5, 40, 200)))
    framing = rng.choice(("length", "chunks", "connection"))
    fields = [b"%b:%b%b" % (rng.choice(NAMES), rng.choice((b"", b" ", b"\t ")), rng.choice(VALUES))
              for _ in range(rng.randrange(4))]  # fmt: skip
    payload = body
    match framing:
        case "length":
            fields += [b"Content-Length: %d" % len(body)] * rng.choice((1, 1, 2))
        case "chunks":
            fields.append(b"Transfer-Encoding: " + rng.choice((b"chunked", b"Chunked")))
            payload = _chunked(rng, body)
    rng.shuffle(fields)
    line = b"HTTP/1.%d %d" % (rng.choice((1, 1, 0)), status) + rng.choice(REASONS)
    has_body = method != "HEAD" and status not in BODILESS_STATUSES
    interim = b"".join(_interim(rng) for _ in range(rng.choice((0, 0, 1, 2, 8))))
    if kind == "corrupt":
        line, fields, interim = _corrupt(rng, line, fields, interim)
    head = interim + b"\r\n".join((line, *fields, b"", b""))
    data = head + (payload if has_body else b"")
    cut = rng.randrange(len(data)) if kind == "cut" else len(data)
    if kind == "noise":
        data = _with_noise(rng, data)
    return Case(
        kind, method, status, body if has_body else b"", data, len(head),
        framing == "connection" and has_body, cut, rng.choice(ENDS), rng.choice((1, 7, 60, 9_999)),
    )  # fmt: skip


def _chunked(rng: random.Random, body: bytes) -> bytes:
    parts, rest = [], body
    while rest:
        size = rng.randint(1, len(rest))
        extension = rng.choice((b"", b"", b";a=b", b";a"))
        parts.append(b"%b%x%b\r\n%b\r\n" % (rng.choice((b"", b"00")), size, extension, rest[:size]))
        rest = rest[size:]
    trailers = rng.choice((b"", b"", b"X-T: v\r\n"))
    return b"".join(parts) + rng.choice((b"0", b"000")) + b"\r\n" + trailers + b"\r\n"


def _interim(rng: random.Random) -> bytes:
    field = rng.choice((b"", b"Link: </a>\r\n"))
    return b"HTTP/1.1 %d X\r\n%b\r\n" % (rng.choice((100, 102, 103)), field)


def _corrupt(rng: random.Random, line: bytes, fields: list, interim: bytes) -> tuple:
    match rng.randrange(4):
        case 0:
            return rng.choice(CORRUPT_STATUS_LINES), fields, interim
        case 1:
            return line, fields, interim + b"HTTP/1.1 103 X\r\nA b: c\r\n\r\n"
        case 2:
            return line, fields, b"HTTP/1.1 103 X\r\n\r\n" * 9
    fields = [*fields, rng.choice(CORRUPT_FIELDS)]
    rng.shuffle(fields)
    return line, fields, interim


def _with_noise(rng: random.Random, data: bytes) -> bytes:
    noisy = bytearray(data)
    for _ in range(rng.randint(1, 3)):
        noisy[rng.randrange(len(noisy))] = rng.choice(
            (0, 9, 10, 13, 32, 48, 58, rng.randrange(256))
        )
    return bytes(noisy)


class FakeSocket:
    """The client's end of a connection on which a case arrives."""

    def __init__(self, case: Case):
        self._case = case
        self._at = 0

    def recv(self, count: int, _flags: int = 0) -> bytes:
        """Return the next piece, nothing at the end of the stream, or raise a reset."""
        case = self._case
        data = case.data[self._at : min(case.cut, self._at + min(count, case.piece_bytes))]
        self._at += len(data)
        if not data and case.end == RESET:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        return data

    def sendall(self, _data: bytes) -> None:
        """Send, or raise the reset that the sender receives in place of the reader."""
        if self._case.end == SENDER_RESET:
            raise ConnectionResetError(errno.ECONNRESET, "reset")

    def getsockopt(self, _level: int, option: int) -> int:
        """Return the pending error."""
        assert option == socket.SO_ERROR
        return errno.EPIPE if self._case.end == HIDDEN_RESET else 0

    def setsockopt(self, _level: int, option: int, _value: int) -> None:
        """Accept how long sent data may stay unacknowledged."""
        assert option == socket.TCP_USER_TIMEOUT

    def makefile(self, _mode: str) -> io.BufferedReader:
        """Return a stream of what arrives."""
        return io.BufferedReader(_RawStream(self))

    def fileno(self) -> int:
        """Return no descriptor."""
        return -1

    def settimeout(self, _timeout_s: float | None) -> None:
        """Accept any timeout."""

    def shutdown(self, _how: int) -> None:
        """Accept the end."""

    def close(self) -> None:
        """Accept the end."""


class _RawStream(io.RawIOBase):
    def __init__(self, sock: FakeSocket):
        self._sock = sock

    def readable(self) -> bool:
        return True

    def readinto(self, buffer) -> int:
        data = self._sock.recv(len(buffer))
        buffer[: len(data)] = data
        return len(data)


Outcome = tuple[int, bytes, tuple[tuple[str, str], ...]] | None
"""Status, body and fields; None for a response that was rejected."""


def read_with_proxy(case: Case) -> Outcome:
    """Read a case as a guard, a health check and the client of the store do."""
    with mock.patch.object(http1.gsocket, "create_connection", lambda *_: FakeSocket(case)):
        connection = http1.ClientConnection("127.0.0.1:1", 1.0)
    # Only the sending task of a long upload receives a reset without the reader being told.
    body = LONG_UPLOAD if case.end == SENDER_RESET else b""
    try:
        reply = connection.exchange(case.method, "/", [("Host", "x")], body)
    except ExchangeError:
        return None
    return reply.status, reply.body, reply.headers


def read_with_urllib3(case: Case) -> Outcome:
    """Read a case as the product's own interface and the library for callers do."""
    connection = StrictConnection("127.0.0.1", 1)
    connection.sock = FakeSocket(case)
    try:
        with contextlib.suppress(ConnectionResetError):  # As pools of urllib3 do.
            connection.request(case.method, "/", decode_content=False)
        response = connection.getresponse()
    except (HTTPError, HTTPException, OSError):
        return None
    return response.status, response.data, tuple(response.headers.items())


READERS = (read_with_proxy, read_with_urllib3)


def fault(case: Case, outcome: Outcome) -> str:
    """Return what is wrong with the outcome of a case, or an empty string."""
    if case.kind != "noise":
        expected = case.expected()
        return "" if (outcome and outcome[:2]) == expected else f"expected {expected}"
    if outcome is None:
        return ""
    status, _, fields = outcome
    is_valid = all(VALID_FIELD.fullmatch(f"{name}:{value}") for name, value in fields)
    return "" if 200 <= status <= 599 and is_valid else "a malformed head was accepted"


def run(seed: int, cases: int) -> tuple[Counter, list[str]]:
    """Run the cases of a seed; return their number by kind and end, and the faults found."""
    counts, faults = Counter(), []
    names = ("wait_read", "log", "set_liveness_options")
    with contextlib.ExitStack() as patches:
        for name in names:
            patches.enter_context(mock.patch.object(http1, name))
        for number in range(cases):
            case = make_case(seed, number)
            for reader in READERS:
                try:
                    outcome = reader(case)
                    found = fault(case, outcome)
                except Exception as error:
                    outcome, found = None, f"raised {error!r}"
                accepted = "rejected" if outcome is None else "accepted"
                counts[case.kind, case.end, accepted] += 1
                if found:
                    faults.append(f"seed {seed} case {number} {reader.__name__}: {found}, {case}")
    return counts, faults


def main() -> int:
    """Run the cases of one seed; return 0 if no fault was found."""
    parser = argparse.ArgumentParser(prog="python -m tests.fuzz.responses")
    parser.add_argument("--cases", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    started = time.monotonic()
    counts, faults = run(arguments.seed, arguments.cases)
    for (kind, end, accepted), count in sorted(counts.items()):
        print(f"{kind:<8} {end:<13} {accepted} {count}")
    for line in faults[:20]:
        print(f"FAULT {line}")
    seconds = time.monotonic() - started
    print(f"{arguments.cases} cases, {len(READERS)} readers, {len(faults)} faults, {seconds:.0f} s")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
