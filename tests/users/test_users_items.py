"""Items of the users' store: what is accepted can be carried, sorted and used by all daemons."""

import base64
import json
import socket
import sys
import unittest

import h11
from hypothesis import given, settings
from hypothesis import strategies as st

from pollenroad.addresses import split_address
from pollenroad.logs import LineFormatter, log
from pollenroad.proxy.boundary import EndpointRemoved
from pollenroad.published import Configuration, RegisteredEndpoint
from pollenroad.relay_messages import DirectoryNews
from pollenroad.shell.frames import decode_message, encode_body
from tests.proxy.samples import directory_with, read
from tests.users.fleet import ROOT, configuration

sys.path.insert(0, str(ROOT / "platform"))

from wire import DIALECT, StoreItem, decode_epoch, decode_item  # noqa: E402

PEER_PORT = 7000
VALID = {
    "service": "registry",
    "addr": "127.0.0.9:8000",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left": "0ms",
    "seq": 1,
    "born": 1,
}
NESTED = b'{"x":' + b"[" * 200_000 + b"]" * 200_000 + b"}"
MALFORMED_CHANGES = (
    {"slots": 10**30},
    {"slots": 2**63},
    {"slots": 0},
    {"slots": -1},
    {"slots": 4.5},
    {"slots": "4"},
    {"slots": True},
    {"slots": None},
    {"born": 10**30},
    {"born": 2**64},
    {"born": -1},
    {"born": 1.5},
    {"seq": "1"},
    {"cold_left": "9" * 400 + "s"},
    {"cold_left": "9999999s"},
    {"cold_left": "1s\n"},
    {"cold_left": "-1s"},
    {"cold_left": 1},
    {"cold_left": "\u0661s"},
    {"addr": "127.0.0.9"},
    {"addr": "127.0.0.9:"},
    {"addr": "127.0.0.9:0"},
    {"addr": "127.0.0.9:65536"},
    {"addr": "127.0.0.9:-1"},
    {"addr": "127.0.0.9:80x"},
    {"addr": "127.0.0.9:\u0668\u0660"},
    {"addr": "127.0.0.9:8000\n"},
    {"addr": "127.0.0.256:8000"},
    {"addr": "127.1:8000"},
    {"addr": "server.example:8000"},
    {"addr": "x" * 300 + ":8000"},
    {"addr": "\u0000:8000"},
    {"addr": "[::1]:8000"},
    {"addr": "0.0.0.0:8000"},
    {"addr": "255.255.255.255:8000"},
    {"addr": "239.1.1.1:8000"},
    {"addr": ""},
    {"addr": []},
    {"service": ""},
    {"service": 7},
    {"service": {}},
    {"zone": ""},
    {"zone": None},
    {"state": "leaving"},
    {"state": ["ready"]},
    {"version": 1},
)
MALFORMED_VALUES = (
    b"",
    b"{",
    b"null",
    b"[]",
    b'"x"',
    b"\xff\xfe",
    b'{"service":"\\ud800"}',
    b'{"born":' + b"9" * 5000 + b"}",
    b'{"slots":1e999}',
    NESTED,
    json.dumps({k: v for k, v in VALID.items() if k != "seq"}).encode(),
)


def item(value: object, name: str = "i-9") -> StoreItem:
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StoreItem(f"servers/{name}", base64.b64encode(data).decode(), revision=11)


def decoded(value: object, name: str = "i-9"):
    return decode_item(item(value, name), 1, PEER_PORT)


def check_usable(test: unittest.TestCase, endpoint: RegisteredEndpoint) -> None:
    """Check that every other part of a daemon can use the registration."""
    news = DirectoryNews(10, 11, endpoints=(endpoint,))
    test.assertEqual(decode_message(encode_body(news)).endpoints, (endpoint,))
    for address in (endpoint.server, endpoint.guard):
        host, port = split_address(address)
        socket.inet_pton(socket.AF_INET, host)
        test.assertIn(port, range(1, 65_536))
    fields = [("Host", "x"), (DIALECT.expected_incarnation, endpoint.incarnation)]
    h11.Request(method="GET", target="/", headers=fields)
    directory = directory_with(endpoint)
    test.assertIs(directory.endpoint_at(endpoint.server), endpoint)
    with test.assertLogs("pollenroad", "DEBUG") as logs:
        log("endpoint_registered", endpoint=endpoint.incarnation, cold_s=endpoint.cold_s)
    LineFormatter("vm").format(logs.records[0])


class EndpointItemTest(unittest.TestCase):
    def test_a_valid_entry_is_usable(self):
        check_usable(self, decoded(VALID))
        check_usable(self, decoded(VALID | {"slots": 2**31 - 1, "born": 2**53 - 1, "x": 10**30}))

    # A number of slots beyond 64 bits was accepted, and no update that held it could be encoded.
    def test_a_malformed_entry_names_no_endpoint(self):
        values = [VALID | change for change in MALFORMED_CHANGES]
        for value in (*values, *MALFORMED_VALUES):
            with self.subTest(value=value if value is not NESTED else "nested"):
                self.assertEqual(decoded(value), EndpointRemoved("i-9"))

    def test_an_id_that_no_header_field_can_carry_names_no_endpoint(self):
        for name in ("", "i 9", "i\r\nx: y", "i-\u00e9", "i\u0000", "i" * 201):
            with self.subTest(name=name):
                self.assertEqual(decoded(VALID, name), EndpointRemoved(name))

    def test_a_value_that_is_not_base64_names_no_endpoint(self):
        for text in ("#", "AAA", "\u00e9"):
            self.assertEqual(
                decode_item(StoreItem("servers/i-9", text, 1), 1, PEER_PORT), EndpointRemoved("i-9")
            )

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.dictionaries(
            st.sampled_from(sorted(VALID)),
            st.recursive(
                st.none()
                | st.booleans()
                | st.integers()
                | st.integers(10**15, 10**25)
                | st.floats(allow_nan=False, allow_infinity=False)
                | st.text(max_size=12)
                | st.from_regex(r"[0-9.]{1,15}:[0-9]{1,6}", fullmatch=True)
                | st.from_regex(r"[0-9]{1,310}(ms|s)", fullmatch=True),
                lambda inner: st.lists(inner, max_size=2),
                max_leaves=3,
            ),
            max_size=3,
        )
    )
    def test_whatever_is_accepted_is_usable(self, changes):
        endpoint = decoded(VALID | changes)
        if not isinstance(endpoint, EndpointRemoved):
            check_usable(self, endpoint)


class ConfigurationItemTest(unittest.TestCase):
    def _decoded(self, document: dict) -> Configuration | None:
        data = base64.b64encode(json.dumps(document).encode()).decode()
        return decode_item(StoreItem("op/config", data, 5), 1, PEER_PORT)

    def test_a_configuration_that_is_accepted_can_be_carried(self):
        config = self._decoded(configuration())
        message = DirectoryNews(1, 2, configuration=config)
        self.assertEqual(decode_message(encode_body(message)).configuration, config)

    def test_one_with_a_value_that_cannot_be_carried_is_refused(self):
        for column, value in (
            ("attempts", 10**30),
            ("priority", 2**64),
            ("timeout", "9" * 400 + "s"),
        ):
            document = configuration()
            index = document["routes"]["columns"].index(column)
            document["routes"]["rows"][0][index] = value
            self.assertIsNone(self._decoded(document), column)
        for column, value in (
            ("max_conns", 10**30),
            ("cold_per_s", 1e300),
            ("health_path", "/\u00e9"),
        ):
            document = configuration()
            index = document["services"]["columns"].index(column)
            document["services"]["rows"][0][index] = value
            self.assertIsNone(self._decoded(document), column)


class EpochTest(unittest.TestCase):
    def test_an_epoch_that_cannot_be_carried_is_an_error_of_the_platform(self):
        from pollenroad.exceptions import PlatformError
        from pollenroad.proxy.reply_parser import Reply

        for text in ("x", "-1", "\u00b2", "9" * 19, "9" * 5000):
            reply = Reply(200, (("store-era", text),), b"", True)
            self.assertRaises(PlatformError, decode_epoch, reply)


class UndeclaredServiceTest(unittest.TestCase):
    # Its address and a later start displaced the endpoint that is really there.
    def test_an_entry_of_an_undeclared_service_does_not_displace_an_endpoint(self):
        endpoint = decoded(VALID)
        odd = decoded(VALID | {"service": "delta", "born": 2**50}, "i-odd")
        directory = directory_with(endpoint, odd)
        self.assertIs(directory.endpoint_at(endpoint.server), endpoint)
        self.assertEqual(list(directory.endpoints("registry")), [endpoint])
        directory.handle(read(endpoint, odd, revision=12), 1.0)
        self.assertEqual(list(directory.endpoints("registry")), [endpoint])


if __name__ == "__main__":
    unittest.main()
