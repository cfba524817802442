"""One connection of a caller, with pipelined requests that run concurrently.

Each connection has a reading and a writing task. Answers are sent in the order of their requests.
What follows an answer with `Connection: close` counts as not read, so that callers send it again.
"""

import socket
import time
from collections import deque
from dataclasses import replace

import gevent
import h11
from gevent.event import Event as Flag
from gevent.server import StreamServer
from gevent.socket import wait_read

from pollenroad.addresses import split_address
from pollenroad.boundary import AnswerCall, CallAbandoned
from pollenroad.logs import log
from pollenroad.messages import Request
from pollenroad.proxy.answer_writer import (
    StalledError,
    drop_unsent,
    limit_send_buffer,
    write_parts,
)
from pollenroad.proxy.boundary import RequestArrived
from pollenroad.proxy.callers import Callers
from pollenroad.proxy.exchanges import (
    Exchange,
    PartialRequest,
    answer_bytes,
    forwarded_fields,
    malformed_detail,
)
from pollenroad.proxy.memory.slow_callers import UnreadResponses
from pollenroad.proxy.reply_parser import READ_BYTES
from pollenroad.proxy.request_reader import RequestReader
from pollenroad.proxy.workspaces.keys import digest_of_fields
from pollenroad.shell.sockets import set_no_delay
from pollenroad.verdicts import Verdict

BACKLOG = 1024
"""Length of the accept queue."""

MAX_PIPELINED = 64
"""Number of unanswered requests of one connection at which reading from it pauses."""

MAX_OPEN_REQUESTS = 512
"""Number of unanswered requests of all connections above which each of them may have one only."""

LINGER_S = 0.5
"""Time between the end of sending and the close, in seconds, in which bytes in transit are read: a
close with unread bytes resets the connection, and the caller could lose the last answer."""

MAX_UNWRITTEN_BYTES = 524_288
"""Bytes of unwritten answers of one connection, and of later requests that its parsers hold, above
which reading from it pauses."""


class CallerConnection:
    """One connection of a caller."""

    def __init__(self, callers: Callers, sock):
        self._callers = callers
        self._sock = sock
        self._exchanges: deque[Exchange] = deque()
        self._wake = Flag()
        self._is_ending = False
        self._is_writing = True  # Whether the writing task goes on.
        self._writing: Exchange | None = None
        """The request whose answer is being written."""
        self._can_read = Flag()
        self._can_read.set()
        self._reader = RequestReader(callers, sock, self._refuse, lambda: bool(self._exchanges))

    # --- Reading ---

    def run(self) -> None:
        """Read requests until the caller or this side closes the connection."""
        set_no_delay(self._sock)
        limit_send_buffer(self._sock)
        self._callers.connections.add(self)
        writer = gevent.spawn(self._write)
        try:
            self._read_requests()
        except (OSError, gevent.Timeout) as error:
            log("caller_lost", reason=f"{type(error).__name__}: {error}", open=len(self._exchanges))
        except Exception as error:
            log("internal_error", where="requests of a caller", reason=repr(error))
        finally:
            self._is_ending = True
            self._abandon()
            self._wake.set()
            try:
                writer.join()
            finally:
                self._callers.connections.discard(self)
                self._sock.close()

    def _read_requests(self) -> None:
        leftover = b""
        while not self._is_ending:
            partial = self._reader.new_partial(leftover)
            is_complete = False
            try:
                is_complete = self._reader.read(partial) and self._await_room()
            except h11.RemoteProtocolError as error:
                self._refuse(partial, "malformed", malformed_detail(error))
            finally:
                self._callers.reading -= partial.has_bytes
                if not is_complete:
                    partial.drop_body()
            if not is_complete:
                break
            leftover = partial.connection.trailing_data[0]
            self._handle_request(partial)
            if self._exchanges:
                self._exchanges[-1].leftover_bytes = len(leftover)
            self._await_room()
        self._await_last_answer()

    def _await_room(self) -> bool:
        """Wait while too much is unanswered or unwritten; return whether to read on."""
        is_paused = False
        while self._is_writing and not self._is_ending and self._is_full():
            held_bytes = self.unread().held_bytes
            if not is_paused and held_bytes > MAX_UNWRITTEN_BYTES:
                is_paused = True
                values = {"open": len(self._exchanges), "bytes": held_bytes}
                self._callers.memory.record("caller_paused", values)
            self._can_read.clear()
            self._can_read.wait()
        return not self._is_ending

    def _is_full(self) -> bool:
        if not self._exchanges:
            return False
        if self._callers.open_requests >= MAX_OPEN_REQUESTS:
            return True
        held_bytes = sum(each.unwritten_bytes + each.leftover_bytes for each in self._exchanges)
        return len(self._exchanges) >= MAX_PIPELINED or held_bytes > MAX_UNWRITTEN_BYTES

    # --- Requests ---

    def _handle_request(self, partial: PartialRequest) -> None:
        """Pass a complete request to the entry, or refuse it if the daemon is about to exit."""
        dialect, head = self._callers.dialect, partial.head
        pairs = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in head.headers.raw_items()]
        value_by_name = {name.lower(): value for name, value in pairs}
        request_id = value_by_name.get(dialect.request_id.lower(), "")
        call_id = self._callers.register(self)
        exchange = Exchange(call_id, partial.connection, request_id, head.method == b"HEAD")
        self._exchanges.append(exchange)
        event = RequestArrived(
            call_id=exchange.call_id,
            request_id=request_id,
            host=value_by_name.get("host", ""),
            request=Request(
                method=head.method.decode("latin-1"),
                path=head.target.decode("latin-1"),
                headers=tuple(forwarded_fields(pairs, request_id, dialect)),
                body=partial.take_body(),
            ),
            deadline_s=partial.left_of(value_by_name.get(dialect.deadline_ms.lower(), "")),
            workspace_key=digest_of_fields(pairs, dialect),
        )
        self._callers.memory.hold_body(event.request, partial.grant)
        if self._callers.is_refusing:
            self.set_answer(
                AnswerCall(exchange.call_id, Verdict.NOT_RUN, "leaving", retry_after_ms=100)
            )
        else:
            self._callers.post(event)

    def _refuse(self, partial: PartialRequest, reason: str, detail: str) -> None:
        """Refuse a request as the last one of its connection."""
        partial.drop_body()
        call_id = self._callers.register(self)
        is_head = partial.head is not None and partial.head.method == b"HEAD"
        exchange = Exchange(call_id, partial.connection, "", is_head)
        self._exchanges.append(exchange)
        log("caller_refused", reason=reason, detail=detail)
        answer = AnswerCall(call_id, Verdict.NOT_RUN, reason, detail=detail)
        if reason == "no-memory":
            answer = replace(answer, retry_after_ms=partial.retry_after_s * 1000)
        self.set_answer(answer)
        self._is_ending = True

    def _await_last_answer(self) -> None:
        """If a last answer is known, wait until it is written, and discard what arrives."""
        if not self._is_ending:
            return
        while self._exchanges and self._is_writing:
            self._can_read.clear()
            self._can_read.wait()
        self._discard_input()

    def _discard_input(self) -> None:
        """Read what the caller still sends: a close with unread bytes resets the connection."""
        with gevent.Timeout(LINGER_S, False):
            while True:
                wait_read(self._sock.fileno())
                if not self._sock.recv(READ_BYTES):
                    return

    def _abandon(self) -> None:
        """Report the unanswered requests of a lost connection to the entry as abandoned."""
        for exchange in self._exchanges:
            self._callers.forget(exchange.call_id)
            if exchange.answer is None:
                self._callers.post(CallAbandoned(exchange.call_id))
        self._exchanges.clear()

    # --- Answers ---

    def set_answer(self, answer: AnswerCall) -> None:
        """Store an answer until all earlier ones are written."""
        for exchange in self._exchanges:
            if exchange.call_id == answer.call_id:
                exchange.answer = answer
                exchange.answered_at = time.monotonic()
        self._wake.set()

    def _write(self) -> None:
        """Write answers until the connection ends; however that happens, reading ends as well."""
        is_done = False
        try:
            while not is_done:
                self._wake.wait()
                self._wake.clear()
                if self._write_ready():
                    self._linger()
                    is_done = True
                is_done = is_done or (self._is_ending and not self._exchanges)
        except StalledError as error:
            drop_unsent(self._sock)
            values = {"bytes": self.unread().held_bytes, "reason": str(error)}
            self._callers.memory.record("caller_stalled", values)
        except (OSError, gevent.Timeout) as error:
            log("caller_lost", reason=f"{type(error).__name__}: {error}", open=len(self._exchanges))
        except Exception as error:
            log("internal_error", where="answers of a caller", reason=repr(error))
        finally:
            self._is_writing = False
            self._writing = None
            if not is_done:
                self._end_reading()
            self._can_read.set()

    def _write_ready(self) -> bool:
        """Write the answers that are next in order; return whether to close the connection then."""
        while self._exchanges and self._exchanges[0].answer is not None:
            exchange = self._exchanges[0]
            is_last = len(self._exchanges) == 1
            closes = is_last and (self._callers.is_closing or self._is_ending)
            parts, ends = self._encode(exchange, closes)
            if ends:
                self._is_ending = True  # What is read from now on counts as not read.
            self._writing = exchange
            write_parts(self._sock, parts)
            self._writing = None
            if self._exchanges and self._exchanges[0] is exchange:
                self._exchanges.popleft()
            self._callers.forget(exchange.call_id)
            self._can_read.set()
            if ends:
                return True
        return False

    def _encode(self, exchange: Exchange, closes: bool) -> tuple[list[bytes], bool]:
        """Return the parts of an answer, or of a failure if HTTP cannot carry it."""
        try:
            return answer_bytes(exchange, closes)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            request_id = exchange.request_id
            log("internal_error", where="answer", request_id=request_id, reason=repr(error))
            exchange.answer = AnswerCall(exchange.call_id, Verdict.UNKNOWN, "unsendable")
            return answer_bytes(exchange, closes)

    def unread(self) -> UnreadResponses:
        """Return what is held of responses for this connection."""
        writing = [self._writing] if self._writing else []  # Also if its caller has gone.
        open_exchanges = {id(each): each for each in (*writing, *self._exchanges)}.values()
        waiting = [each for each in open_exchanges if each.unwritten_bytes]
        held_bytes = sum(each.unwritten_bytes for each in waiting)
        since = min((each.answered_at for each in waiting), default=0.0)
        return UnreadResponses(id(self), held_bytes, since)

    def close_for_memory(self) -> None:
        """Close the connection and drop its responses."""
        unread = self.unread()
        held_ms = round((time.monotonic() - unread.since) * 1000)
        values = {"bytes": unread.held_bytes, "ms": held_ms, "open": len(self._exchanges)}
        self._callers.memory.record("caller_closed", values)
        drop_unsent(self._sock)
        self._abandon()
        self._end_reading()
        self._wake.set()
        self._can_read.set()

    def _linger(self) -> None:
        self._is_ending = True
        self._sock.shutdown(socket.SHUT_WR)
        gevent.spawn_later(LINGER_S, self._end_reading)

    def _end_reading(self) -> None:
        """Shut the socket down, which ends the reading task."""
        self._is_ending = True
        try:
            self._sock._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return  # The caller has already closed the connection.


def make_caller_server(address: str, callers: Callers) -> StreamServer:
    """Return an HTTP/1.1 server for callers at `address`, not yet started."""

    def serve(sock, _remote) -> None:
        CallerConnection(callers, sock).run()

    return StreamServer(split_address(address), serve, backlog=BACKLOG)
