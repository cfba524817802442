"""Links for long frames: no small frame waits for a long one, and refusals are true."""

import random
import socket
import struct
import unittest
from unittest import mock

import gevent
from gevent.event import Event as Flag

from pollenroad.boundary import AttemptUnsent, PeerLost, PeerReceived
from pollenroad.messages import Attempt, AttemptAnswer, CancelAttempt, Hello, Request, Response
from pollenroad.proxy.memory.account import AccountLimits, Purpose
from pollenroad.proxy.memory.links import LinkSpace
from pollenroad.proxy.memory.space import Space
from pollenroad.relay_messages import DirectoryNews
from pollenroad.shell import peers as peers_module
from pollenroad.shell.frames import (
    LONG_FRAME_BYTES,
    MAX_FRAME_BYTES,
    body_of,
    encode_body,
    encode_frame,
    read_message,
)
from pollenroad.shell.long_links import ATTEMPTS, NO_MEMORY
from pollenroad.shell.peers import Identity, Peers
from tests.users.fleet import free_ports

WAIT_S = 5.0
LONG = bytes(range(256)) * 4_000


def attempt(number: int, body: bytes = LONG, remaining_ms: float = 9_000.0) -> Attempt:
    request = Request("POST", "/", (), body)
    return Attempt(f"a-{number}", "q", "w/s", "c", "read", False, remaining_ms, request)


def answer(number: int, body: bytes = LONG) -> AttemptAnswer:
    return AttemptAnswer(f"a-{number}", "ran", response=Response(200, (), body))


class LongLinkTest(unittest.TestCase):
    def setUp(self):
        self.events = ([], [])
        self.changed = Flag()
        self.spaces = [Space(AccountLimits()) for _ in range(2)]
        self.addresses = [f"127.0.0.1:{port}" for port in free_ports(2)]
        self.peers = [self._peers(index) for index in range(2)]

    def _peers(self, index: int) -> Peers:
        def post(event):
            self.events[index].append(event)
            self.changed.set()

        identity = Identity(f"vm-{index}", self.addresses[index], f"i{index}", "a")
        memory = LinkSpace(self.spaces[index])
        peers = Peers(identity, post, lambda _: True, memory=memory)
        peers.start()
        self.addCleanup(peers.stop)
        return peers

    def _send(self, sender: int, *messages):
        for message in messages:
            self.peers[sender].send(self.addresses[1 - sender], message)

    def _await(self, receiver: int, kind: type, count: int) -> list:
        def found() -> list:
            return [event for event in self.events[receiver] if isinstance(event, kind)]

        with gevent.Timeout(WAIT_S):
            while len(found()) < count:
                self.changed.clear()
                self.changed.wait()
        return found()

    def _received(self, receiver: int, count: int) -> list:
        return [event.message for event in self._await(receiver, PeerReceived, count)]

    def _check(self, received: list, *sent):
        """Check that messages and bodies arrived; the time in the queue changes an attempt."""

        def outline(message) -> tuple:
            return type(message).__name__, message.attempt_id, hash(body_of(message))

        self.assertCountEqual(map(outline, received), map(outline, sent))

    def _fill(self, index: int, purpose: Purpose):
        space = self.spaces[index]
        count = space.account.most_bytes(purpose) - space.account.long_by_purpose.total()
        return space.acquire(purpose, count, 0.0)

    def _await_empty(self):
        with gevent.Timeout(WAIT_S):
            while any(space.account.held_bytes for space in self.spaces):
                gevent.sleep(0.001)

    def test_long_messages_arrive_whole_and_are_counted_until_they_are_dropped(self):
        self._send(0, attempt(1), attempt(2, b"small"))
        self._check(self._received(1, 2), attempt(1), attempt(2, b"small"))
        account = self.spaces[1].account
        self.assertEqual(account.long_by_purpose[Purpose.GUARD_REQUESTS], len(LONG))
        self._send(1, answer(1), answer(2, b"small"))
        self._check(self._received(0, 2), answer(1), answer(2, b"small"))
        for events in self.events:
            events.clear()
        self._await_empty()

    def test_a_long_answer_arrives_although_no_long_attempt_was_sent(self):
        self._send(0, attempt(1, b""))
        self._received(1, 1)
        self._send(1, answer(1))
        self._check(self._received(0, 1), answer(1))

    # A long frame kept back load reports and refusals, so that requests were sent to full servers.
    def test_small_frames_do_not_wait_for_a_long_one_without_space(self):
        grant = self._fill(1, Purpose.GUARD_REQUESTS)
        self._send(0, attempt(1), attempt(2, b"small"))
        self._check(self._received(1, 1), attempt(2, b"small"))
        grant.release()
        self._check(self._received(1, 2)[1:], attempt(1))

    def test_an_update_of_the_directory_does_not_wait_for_space(self):
        """It kept back all requests on its link for 10 s, and then the link was closed."""
        grant = self._fill(1, Purpose.GUARD_REQUESTS)
        update = DirectoryNews(after=0, revision=7, removed=("x" * 20_000,) * 20)
        self.assertGreater(len(encode_body(update)), LONG_FRAME_BYTES)
        self._send(0, update, attempt(1, b"small"))
        received = self._received(1, 2)
        self.assertEqual((received[0].revision, received[1].attempt_id), (7, "a-1"))
        self.assertIsNotNone(grant)

    def test_a_body_that_is_not_long_does_not_wait_for_space_with_its_head(self):
        grant = self._fill(1, Purpose.GUARD_REQUESTS)
        body = random.Random(1).randbytes(LONG_FRAME_BYTES)
        self._send(0, attempt(1, body), attempt(2, b"small"))
        self.assertCountEqual([m.attempt_id for m in self._received(1, 2)], ["a-1", "a-2"])
        self.assertIsNotNone(grant)

    def test_an_attempt_without_space_in_its_time_is_answered_as_not_run(self):
        grant = self._fill(1, Purpose.GUARD_REQUESTS)
        self._send(0, attempt(1, remaining_ms=20.0))
        (refused,) = self._received(0, 1)
        self.assertEqual((refused.attempt_id, refused.verdict), ("a-1", "not-run"))
        self.assertEqual(refused.reason, NO_MEMORY)
        self.assertGreater(refused.retry_after_ms, 0)
        grant.release()
        self._send(0, attempt(2))
        self._check(self._received(1, 1), attempt(2))  # Not the first, which was refused.

    # Entries answered 504 for uploads that had never left them.
    def test_an_attempt_that_is_not_written_in_time_did_not_run(self):
        grant = self._fill(1, Purpose.GUARD_REQUESTS)
        self._send(0, attempt(1, bytes(8_000_000)))
        gevent.sleep(0.1)
        self._send(0, attempt(2, remaining_ms=40.0))
        (refused,) = self._received(0, 1)
        self.assertEqual((refused.attempt_id, refused.verdict), ("a-2", "not-run"))
        grant.release()
        self.assertEqual([message.attempt_id for message in self._received(1, 1)], ["a-1"])

    def test_the_time_in_the_queue_counts_towards_the_deadline(self):
        grant = self._fill(1, Purpose.GUARD_REQUESTS)
        self._send(0, attempt(1, bytes(8_000_000)))
        gevent.sleep(0.1)
        self._send(0, attempt(2))
        gevent.sleep(0.1)
        grant.release()
        self.assertLess(self._received(1, 2)[1].remaining_ms, attempt(2).remaining_ms - 50)

    def test_a_cancelled_attempt_that_was_not_written_is_dropped(self):
        grant = self._fill(1, Purpose.GUARD_REQUESTS)
        bodies = [bytes(8_000_000 + number) for number in range(3)]
        self._send(0, *(attempt(number, body) for number, body in enumerate(bodies)))
        gevent.sleep(0.1)
        self._send(0, CancelAttempt("a-2"))
        self._received(1, 1)
        grant.release()
        self._received(1, 3)
        gevent.sleep(0.1)
        ids = [message.attempt_id for message in self._received(1, 3)]
        self.assertEqual(ids, ["a-2", "a-0", "a-1"])  # The first is the cancellation.

    def test_of_a_lost_link_only_attempts_without_a_whole_frame_did_not_run(self):
        self._send(0, attempt(0))
        self._received(1, 1)
        grant = self._fill(1, Purpose.GUARD_REQUESTS)
        self._send(0, attempt(1, bytes(8_000_000)), attempt(2))
        gevent.sleep(0.1)
        self.peers[1].stop()
        ids = {event.attempt_id for event in self._await(0, AttemptUnsent, 2)}
        self.assertEqual(ids, {"a-1", "a-2"})
        grant.release()

    def test_a_frame_over_the_limit_closes_only_its_link(self):
        self._send(0, attempt(1, b"small"))
        self._received(1, 1)
        host, _, port = self.addresses[1].rpartition(":")
        with socket.socket() as sock, self.assertLogs("pollenroad", "WARNING") as logs:
            sock.bind(("127.0.0.1", 0))
            self._send_too_long(sock, host, int(port))
        self.assertEqual([record.msg for record in logs.records], ["peer_refused"])
        self._send(0, attempt(2, b"small"), attempt(3))
        self.assertEqual(len(self._received(1, 3)), 3)
        self.assertFalse([e for e in self.events[0] if isinstance(e, PeerLost)])

    def _send_too_long(self, sock, host: str, port: int):
        """Send a frame over the limit, and wait until the link is closed."""
        sock.settimeout(WAIT_S)
        sock.connect((host, port))
        stream = sock.makefile("rb")
        challenge = read_message(stream)
        hello = Hello(3, "vm-x", "127.0.0.1:1", "x", long_frames=ATTEMPTS)
        sock.sendall(encode_frame(hello) + struct.pack("!II", 10, MAX_FRAME_BYTES))
        self.assertIsInstance(challenge, Hello)
        self.assertEqual(stream.read(), b"")

    # Daemons are replaced one by one; those of the previous build know only ordinary links.
    def test_a_daemon_of_the_previous_build_gets_ordinary_frames(self):
        with mock.patch.object(peers_module, "PROTOCOL_VERSION", 2):
            self._send(0, attempt(1))
            self._check(self._received(1, 1), attempt(1))
            self._send(1, answer(1))
            self._check(self._received(0, 1), answer(1))
        account = self.spaces[1].account
        self.assertEqual(account.long_by_purpose[Purpose.GUARD_REQUESTS], len(LONG))
        for events in self.events:
            events.clear()
        self._await_empty()


if __name__ == "__main__":
    unittest.main()
