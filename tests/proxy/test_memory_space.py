"""Space for messages: tasks that are killed at any wait leave no bytes counted."""

import contextlib
import socket
import unittest

import gevent
from gevent.server import StreamServer
from gevent.socket import create_connection

from pollenroad.boundary import AnswerCall, ServerAnswered
from pollenroad.exceptions import NoSpaceError
from pollenroad.messages import Request, Response
from pollenroad.proxy.boundary import RequestArrived
from pollenroad.proxy.caller_connection import CallerConnection
from pollenroad.proxy.callers import Callers
from pollenroad.proxy.dialect import Dialect
from pollenroad.proxy.memory.account import AccountLimits, Purpose, message_bytes
from pollenroad.proxy.memory.links import LinkSpace
from pollenroad.proxy.memory.space import Space
from pollenroad.proxy.upstream import Upstream
from pollenroad.shell.control_cost import make_cost_meter
from pollenroad.shell.frames import encode_long_head
from pollenroad.shell.long_links import LongLink
from pollenroad.verdicts import Verdict
from tests.proxy.samples import attempt
from tests.users.raw_http import answer_bytes, read_message, request_bytes

DIALECT = Dialect()
WAIT_S = 5.0
LONG = bytes(300_000)
ANSWER = answer_bytes(200, {DIALECT.request_id: "r", DIALECT.signature: "s"}, LONG)
TURNS = 45
"""Turns of the event loop after which a task is killed, at most; each scenario ends within them."""


def answer_once(sock, _remote):
    with contextlib.suppress(OSError), sock, sock.makefile("rb") as stream:
        if read_message(stream) is not None:
            sock.sendall(ANSWER)


class SpaceTest(unittest.TestCase):
    def setUp(self):
        self.space = Space(AccountLimits(small_bytes=1_000))
        self.most = self.space.account.most_bytes(Purpose.ENTRY_REQUESTS)

    def test_a_message_waits_until_another_is_freed(self):
        held = Request("POST", "/")
        self.space.hold(held, self.space.acquire(Purpose.ENTRY_REQUESTS, self.most, 0.0))
        with self.assertRaises(NoSpaceError):
            self.space.acquire(Purpose.ENTRY_REQUESTS, 100_000, 0.01)
        waiting = gevent.spawn(self.space.acquire, Purpose.ENTRY_REQUESTS, 100_000, WAIT_S)
        gevent.sleep(0)
        del held
        self.assertEqual(waiting.get(timeout=WAIT_S).count, 100_000)
        del waiting
        gevent.sleep(0)
        self.assertEqual(self.space.account.held_bytes, 0)

    def test_a_message_that_goes_from_the_guard_to_the_entry_is_counted_once(self):
        response = Response(200, (), bytes(500))
        for purpose in (Purpose.GUARD_RESPONSES, Purpose.ENTRY_RESPONSES):
            self.space.hold_as(response, purpose, 500)
            self.assertEqual(self.space.account.small_by_purpose[purpose], 500)
            self.assertEqual(self.space.account.held_bytes, 500)
        del response
        self.assertEqual(self.space.account.held_bytes, 0)

    # A task that was granted space, and killed before it ran again, kept it.
    def test_the_head_of_a_message_counts_as_well(self):
        """Only bodies counted: callers that read nothing could hold any number of long heads."""
        fields = tuple((f"x-field-{number}", "v" * 100) for number in range(100))
        response = Response(200, fields, b"")
        self.space.hold_as(response, Purpose.ENTRY_RESPONSES, message_bytes(response))
        octets = sum(len(name) + len(value) for name, value in fields)
        self.assertGreater(self.space.account.held_bytes, octets)
        del response
        self.assertEqual(self.space.account.held_bytes, 0)

    def test_space_that_was_granted_to_a_killed_task_is_returned(self):
        grant = self.space.acquire(Purpose.ENTRY_REQUESTS, self.most, 0.0)
        waiting = gevent.spawn(self.space.acquire, Purpose.ENTRY_REQUESTS, 100_000, WAIT_S)
        gevent.sleep(0)
        waiting.kill(block=False)
        grant.release()
        gevent.sleep(0)
        self.assertEqual(self.space.account.held_bytes, 0)
        self.assertFalse(self.space.account.has_waiting)

    def test_callers_are_closed_while_their_bytes_are_needed(self):
        responses = [Response(200, (), LONG) for _ in range(3)]
        most = self.space.account.most_bytes(Purpose.ENTRY_RESPONSES)
        for response in responses:
            grant = self.space.acquire(Purpose.ENTRY_RESPONSES, most // 3, 0.0)
            self.space.hold(response, grant)
            del grant
        self.space.close_caller = responses.pop
        response = None
        self.space.acquire(Purpose.ENTRY_RESPONSES, most // 2, WAIT_S).release()
        self.assertEqual(len(responses), 1)


class KilledTaskTest(unittest.TestCase):
    """Each scenario moves one long message, with little space, and is killed after some turns."""

    def _check(self, scenario):
        was_waiting = was_held = False
        for turns in range(TURNS):
            space = Space()
            blocking = space.acquire(
                Purpose.ENTRY_RESPONSES, space.account.limits.long_bytes - 100_000, 0.0
            )
            task, close = scenario(space)
            for turn in range(turns):
                if turn == TURNS // 3:
                    blocking.release()
                gevent.sleep(0.001)
            was_waiting |= space.account.has_waiting
            was_held |= turns > TURNS // 3 and space.account.held_bytes > 0
            task.kill(block=False)
            close()
            task.join(WAIT_S)
            blocking.release()
            del task, close
            with gevent.Timeout(WAIT_S):
                while space.account.held_bytes or space.account.has_waiting:
                    gevent.sleep(0.001)
        self.assertTrue(was_waiting and was_held, "the scenario did not get that far")

    def _server(self, serve) -> StreamServer:
        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop)
        return server

    def test_of_a_caller_that_uploads_and_does_not_read(self):
        def scenario(space: Space):
            def post(event):
                if isinstance(event, RequestArrived):
                    answer = AnswerCall(event.call_id, Verdict.RAN, "", Response(200, (), LONG * 9))
                    callers.answer(answer)

            def upload():
                with gevent.Timeout(WAIT_S, False):
                    data = request_bytes("POST", "/", {"Host": "x"}, LONG)
                    for start in range(0, len(data), 65_536):
                        ours.sendall(data[start : start + 65_536])
                        gevent.sleep(0)

            callers = Callers(DIALECT, post, space)
            listener = socket.create_server(("127.0.0.1", 0))
            ours = create_connection(listener.getsockname(), WAIT_S)
            ours.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            theirs = gevent.socket.socket(fileno=listener.accept()[0].detach())
            listener.close()
            client = gevent.spawn(upload)

            def close():
                client.kill()
                ours.close()

            return gevent.spawn(CallerConnection(callers, theirs).run), close

        self._check(scenario)

    def test_of_an_exchange_with_the_server(self):
        server = self._server(answer_once)

        def scenario(space: Space):
            events = []
            upstream = Upstream(f"127.0.0.1:{server.server_port}", DIALECT, events.append, space)
            request = Request("POST", "/", (("Host", "x"),), LONG)
            sample = attempt("a", request=request, request_id="r")
            task = gevent.spawn(upstream._run, sample, WAIT_S)

            def close():
                upstream.set_server("127.0.0.1:1")
                events.clear()

            return task, close

        self._check(scenario)

    def test_of_a_reader_of_a_link_for_long_frames(self):
        message = attempt("a", request=Request("POST", "/", (("Host", "x"),), LONG))

        def serve(sock, _remote):
            with contextlib.suppress(OSError):  # The reader was killed.
                for _ in range(3):
                    sock.sendall(encode_long_head(message) + LONG)
                sock.recv(1)

        server = self._server(serve)

        def scenario(space: Space):
            sock = create_connection(("127.0.0.1", server.server_port), WAIT_S)
            memory, meter = LinkSpace(space), make_cost_meter()
            closed = lambda link, unsent: None  # noqa: E731
            link = LongLink(sock, sock.makefile("rb"), "peer", closed, meter, memory)
            received = []

            def close():
                link.close()
                received.clear()

            return gevent.spawn(link.read, received.append, lambda *refused: None), close

        self._check(scenario)

    def test_the_scenarios_come_to_their_end(self):
        events, space, server = [], Space(), self._server(answer_once)
        upstream = Upstream(f"127.0.0.1:{server.server_port}", DIALECT, events.append, space)
        sample = attempt("a", request=Request("POST", "/", (("Host", "x"),), LONG), request_id="r")
        upstream._run(sample, WAIT_S)
        (answered,) = (event for event in events if isinstance(event, ServerAnswered))
        self.assertEqual(answered.response.body, LONG)
        self.assertEqual(space.account.held_bytes, len(LONG))
        del answered
        events.clear()
        self.assertEqual(space.account.held_bytes, 0)


if __name__ == "__main__":
    unittest.main()
