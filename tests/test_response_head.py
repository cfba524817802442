"""Which response heads are valid, at every place that reads responses."""

import re
import unittest
from dataclasses import dataclass
from pathlib import Path

import pollenroad
from pollenroad.boundary import PeerReceived
from pollenroad.messages import AttemptAnswer, Response
from pollenroad.received_answers import checked_event
from tests.response_places import BODY, FIELDS, PLACES, FixedServer

OK = b"HTTP/1.1 200 OK"
LENGTH = f"Content-Length: {len(BODY)}\r\n".encode()
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKED_BODY = b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)


@dataclass(frozen=True)
class Case:
    """A head: its status line, one further field line and the fields of its framing."""

    name: str
    status_line: bytes = OK
    field_line: bytes = b""
    framing: bytes = LENGTH
    body: bytes = BODY
    interim: bytes = b""

    def data(self) -> bytes:
        """Return the bytes of the whole response."""
        line = self.field_line + b"\r\n" if self.field_line else b""
        head = self.status_line + b"\r\n" + FIELDS + line + self.framing + b"\r\n"
        return self.interim + head + self.body

    def from_peer(self) -> Response | None:
        """Return the response as a peer would send it, or None if a message cannot express it."""
        status = re.match(rb"HTTP/1.1 ([0-9]+) OK", self.status_line)
        if status is None or self.framing != LENGTH or self.interim or b"\n " in self.field_line:
            return None
        name, colon, value = self.field_line.decode("latin-1").partition(":")
        fields = ((name, value.strip(" \t")),) if self.field_line else ()
        return None if name and not colon else Response(int(status[1]), fields, BODY)


VALID = (
    Case("a length"),
    Case("chunks", framing=CHUNKED, body=CHUNKED_BODY),
    Case("chunks in capitals", framing=CHUNKED.upper(), body=CHUNKED_BODY),
    Case("HTTP/1.0", b"HTTP/1.0 200 OK"),
    Case("no reason phrase", b"HTTP/1.1 200"),
    Case("an empty reason phrase", b"HTTP/1.1 200 "),
    Case("an empty value", field_line=b"X-Empty:"),
    Case("a name of all token characters", field_line=b"!#$%&'*+-.^_`|~09azAZ: v"),
    Case("octets above 127 in a value", field_line=b"X-Note: Zo\xe9 \x80\x85\xff"),
    Case("a tab in a value", field_line=b"X-Note:\ta\tb\t"),
    Case("a folded value", field_line=b"X-Note: a\r\n b"),
    Case("the same length twice", framing=LENGTH + LENGTH),
    Case("the same length in a list", framing=LENGTH[:-2] + b", %d\r\n" % len(BODY)),
    Case("eight interim responses", interim=b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 8),
    Case("an interim response to go on", interim=b"HTTP/1.1 100 Continue\r\n\r\n"),
)
INVALID = (
    Case("version 9.9", b"HTTP/9.9 200 OK"),
    Case("version 1.2", b"HTTP/1.2 200 OK"),
    Case("version 1.10", b"HTTP/1.10 200 OK"),
    Case("version 2.0", b"HTTP/2.0 200 OK"),
    Case("another protocol", b"http/1.1 200 OK"),
    Case("status 000", b"HTTP/1.1 000 OK"),
    Case("status 099", b"HTTP/1.1 099 OK"),
    Case("status 600", b"HTTP/1.1 600 OK"),
    Case("status 999", b"HTTP/1.1 999 OK"),
    Case("status of two digits", b"HTTP/1.1 20 OK"),
    Case("status of four digits", b"HTTP/1.1 2000 OK"),
    Case("status with a sign", b"HTTP/1.1 +20 OK"),
    Case("status of other digits", b"HTTP/1.1 2\xb20 OK"),
    Case("two spaces before the status", b"HTTP/1.1  200 OK"),
    Case("a control octet in the reason phrase", b"HTTP/1.1 200 O\x01K"),
    Case("a space in a name", field_line=b"X Note: v"),
    Case("a space before the colon", field_line=b"X-Note : v"),
    Case("a space before a known name", field_line=b"Content-Length : 1"),
    Case("a control octet in a name", field_line=b"X\x01Note: v"),
    Case("an octet above 127 in a name", field_line=b"X-No\xe9: v"),
    Case("an empty name", field_line=b": v"),
    Case("no colon", field_line=b"X-Note"),
    Case("NUL in a value", field_line=b"X-Note: a\x00b"),
    Case("a control octet in a value", field_line=b"X-Note: a\x01b"),
    Case("DEL in a value", field_line=b"X-Note: a\x7fb"),
    Case("a lone CR in a value", field_line=b"X-Note: a\rb"),
    Case("length and chunks", framing=LENGTH + CHUNKED, body=CHUNKED_BODY),
    Case("chunks and length", framing=CHUNKED + LENGTH, body=CHUNKED_BODY),
    Case("two lengths", framing=b"Content-Length: 1\r\n" + LENGTH),
    Case("two lengths in reverse", framing=LENGTH + b"Content-Length: 1\r\n"),
    Case("two lengths in a list", framing=LENGTH[:-2] + b", 1\r\n"),
    Case("an empty length", framing=b"Content-Length:\r\n"),
    Case("a negative length", framing=b"Content-Length: -1\r\n"),
    Case("a length with a sign", framing=b"Content-Length: +%d\r\n" % len(BODY)),
    Case("a length of other digits", framing=b"Content-Length: \xb2\r\n"),
    Case("a length of 25 digits", framing=b"Content-Length: " + b"9" * 25 + b"\r\n"),
    Case("another coding", framing=b"Transfer-Encoding: gzip\r\n", body=CHUNKED_BODY),
    Case("two codings", framing=b"Transfer-Encoding: gzip, chunked\r\n", body=CHUNKED_BODY),
    Case("the coding twice", framing=CHUNKED + CHUNKED, body=CHUNKED_BODY),
    Case("an empty coding", framing=b"Transfer-Encoding:\r\n" + LENGTH),
    Case("nine interim responses", interim=b"HTTP/1.1 103 Early Hints\r\n\r\n" * 9),
    Case("a few hundred fields", field_line=b"\r\n".join([b"X-Field: v"] * 300)),
    Case("a switch of protocols", interim=b"HTTP/1.1 101 Switching\r\n\r\n"),
    Case("a malformed interim response", interim=b"HTTP/1.1 103 Early\r\nA b: c\r\n\r\n"),
    Case("an interim response of version 9.9", interim=b"HTTP/9.9 103 Early Hints\r\n\r\n"),
    Case("no chunk size", framing=CHUNKED, body=b"\r\n" + CHUNKED_BODY),
    Case("a chunk size with a sign", framing=CHUNKED, body=b"+" + CHUNKED_BODY),
    Case("a chunk size with a prefix", framing=CHUNKED, body=b"0x" + CHUNKED_BODY),
    Case("a negative chunk size", framing=CHUNKED, body=b"-" + CHUNKED_BODY),
    Case("a chunk longer than its size", framing=CHUNKED, body=b"1\r\n" + BODY + b"\r\n0\r\n\r\n"),
    Case("a chunk size that breaks off", framing=CHUNKED, body=CHUNKED_BODY[:-5] + b"0"),
    Case("no end of the trailers", framing=CHUNKED, body=CHUNKED_BODY[:-2]),
    Case("a malformed trailer", framing=CHUNKED, body=CHUNKED_BODY[:-2] + b"A b: c\r\n\r\n"),
)


class ResponseHeadTest(unittest.TestCase):
    # Responses of status 600 and 999, of HTTP/9.9 and with malformed fields reached clients.
    def test_every_place_accepts_the_same_heads(self):
        server = FixedServer()
        self.addCleanup(server.stop)
        for is_valid, cases in ((True, VALID), (False, INVALID)):
            for case in cases:
                server.data = case.data()
                for is_accepted in PLACES:
                    with self.subTest(case=case.name, place=is_accepted.__name__):
                        self.assertIs(is_accepted(server.address), is_valid)
                if response := case.from_peer():
                    with self.subTest(case=case.name, place="peer"):
                        event = PeerReceived("peer", AttemptAnswer("a", "ran", response=response))
                        checked, _ = checked_event(event)
                        self.assertIs(checked.message.response is response, is_valid)

    # Such a pool takes a response that breaks off in its head for a complete one.
    def test_no_module_of_the_product_reads_responses_in_another_way(self):
        lenient = re.compile(
            r"urllib3\.(request|PoolManager|HTTPConnectionPool)\(|http\.client\.HTTPC"
        )
        root = Path(pollenroad.__file__).parent
        paths = [path for path in root.rglob("*.py") if path.parent.name != "bench"]
        found = [path.name for path in paths if lenient.search(path.read_text())]
        self.assertEqual(found, ["strict_http.py"])


if __name__ == "__main__":
    unittest.main()
