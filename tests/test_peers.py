"""Links between daemons: one message that cannot be sent harms no other."""

import unittest

import gevent
from gevent.event import Event as Flag

from pollenroad.boundary import PeerReceived
from pollenroad.exceptions import PeerError
from pollenroad.messages import Attempt, AttemptAnswer, CancelAttempt, LoadReport, Request
from pollenroad.shell.driver import Driver, perform_logged
from pollenroad.shell.frames import MAX_FRAME_BYTES, encode_frame
from pollenroad.shell.peers import UNSENDABLE, Identity, Peers
from tests.users.fleet import free_ports

WAIT_S = 5.0


def attempt(number: int, **changes) -> Attempt:
    values = {"request": Request("GET", "/"), "number": 1} | changes
    return Attempt(f"a-{number}", "q", "w/s", "c", "read", False, 900.0, **values)


UNENCODABLE = {
    "a number beyond 64 bits": {"priority": 10**30},
    "text that is not valid Unicode": {"request": Request("GET", "/\ud800")},
    "a frame that is too long": {"request": Request("POST", "/", (), bytes(MAX_FRAME_BYTES))},
}


class UnsendableMessageTest(unittest.TestCase):
    def setUp(self):
        ports = free_ports(2)
        self.events = ([], [])
        self.changed = Flag()
        self.peers = [self._peers(f"127.0.0.1:{port}", index) for index, port in enumerate(ports)]
        self.address = f"127.0.0.1:{ports[1]}"

    def _peers(self, address: str, index: int) -> Peers:
        def post(event):
            self.events[index].append(event)
            self.changed.set()

        peers = Peers(Identity(f"vm-{index}", address, f"i{index}", "a"), post, lambda _: True)
        peers.start()
        self.addCleanup(peers.stop)
        return peers

    def _await_received(self, count: int) -> list:
        with gevent.Timeout(WAIT_S):
            while len(self.events[1]) < count:
                self.changed.clear()
                self.changed.wait()
        return [event.message for event in self.events[1] if isinstance(event, PeerReceived)]

    # An exception here dropped all messages that waited for the link, and left it without a reader.
    def test_it_is_answered_as_not_run_and_the_others_arrive(self):
        for kind, changes in UNENCODABLE.items():
            with self.subTest(kind):
                self.events[0].clear()
                self.events[1].clear()
                for message in (attempt(1), attempt(2, **changes), attempt(3)):
                    self.peers[0].send(self.address, message)
                ids = [message.attempt_id for message in self._await_received(2)]
                self.assertEqual(ids, ["a-1", "a-3"])
                (event,) = self.events[0]
                expected = AttemptAnswer("a-2", "not-run", UNSENDABLE)
                self.assertEqual((event.peer, event.message), (self.address, expected))

    def test_other_messages_are_dropped_with_a_log_line(self):
        report = LoadReport("w/s", "i", 10**30, 0, 0)
        with self.assertLogs("pollenroad", "ERROR") as logs:
            for message in (attempt(1), report, CancelAttempt("a-1")):
                self.peers[0].send(self.address, message)
            self.assertEqual(len(self._await_received(2)), 2)
        self.assertEqual(logs.records[0].msg, "message_refused")

    def test_the_encoder_refuses_what_no_peer_would_accept(self):
        for changes in UNENCODABLE.values():
            self.assertRaises(PeerError, encode_frame, attempt(1, **changes))


class ActionTest(unittest.TestCase):
    # The rest of an update to the other daemons was dropped behind one that could not be sent.
    def test_an_action_that_fails_does_not_keep_back_the_next(self):
        performed = []

        def perform(action):
            if action == "fails":
                raise OverflowError("of one action")
            performed.append(action)

        def handle(event):
            for action in ("first", "fails", event):
                perform_logged(perform, action)

        driver = Driver(handle, lambda: None)
        driver.post("second")
        self.assertEqual(performed, ["first", "second"])


if __name__ == "__main__":
    unittest.main()
