"""Stand-in for the users' store: range and watch calls, lost history and unavailability."""

import base64
import json
import threading
import time
import urllib.parse
from socketserver import StreamRequestHandler, ThreadingTCPServer

from tests.users.raw_http import answer_bytes, read_message

PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
"""Length of a page, which an item of any length may exceed."""


class _Server(ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True


class StandInStore:
    """The store on a loopback address.

    Attributes:
        mode: Empty, or how the store is unavailable: `busy` answers 503, `silent` does not answer,
            also later on the same connection, `reset` closes connections.
        calls: Number of received calls.
    """

    def __init__(self, host: str):
        self.mode = ""
        self.calls = 0
        self._lock = threading.Condition()
        self._revision = 0
        self._item_by_key: dict[str, dict] = {}
        self._log: list[dict] = []
        self._last_forgotten_revision = 0
        self._epoch = 1
        store = self

        class Handler(StreamRequestHandler):
            def handle(self):
                try:
                    store._serve(self)
                except OSError:
                    return  # The reader has closed the connection.

        self._server = _Server((host, 0), Handler)
        self.address = f"{host}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()

    # --- Writes of the operator and the servers ---

    def put(self, key: str, value: object) -> None:
        """Write an item; bytes are stored unchanged, any other value as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._lock:
            self._revision += 1
            item = {
                "key": key,
                "value": base64.b64encode(data).decode(),
                "revision": self._revision,
                "created": self._revision,
                "lease": 0,
            }
            self._item_by_key[key] = item
            self._log.append(item)
            self._lock.notify_all()

    def delete(self, key: str) -> None:
        """Remove an item."""
        with self._lock:
            if self._item_by_key.pop(key, None) is None:
                return
            self._revision += 1
            self._log.append({"key": key, "revision": self._revision, "deleted": True})
            self._lock.notify_all()

    def forget_history(self) -> None:
        """Drop the history, so that watches from an earlier revision are answered 410."""
        with self._lock:
            self._log.clear()
            self._last_forgotten_revision = self._revision
            self._lock.notify_all()

    def copy(self) -> tuple[dict[str, dict], int]:
        """Return a copy of the items and the revision."""
        with self._lock:
            return dict(self._item_by_key), self._revision

    def restore(self, copy: tuple[dict[str, dict], int]) -> None:
        """Come back from a copy: what was written since is gone, and revisions start from there."""
        with self._lock:
            self._item_by_key, self._revision = dict(copy[0]), copy[1]
            self._log.clear()
            self._last_forgotten_revision = self._revision
            self._epoch += 1
            self._lock.notify_all()

    # --- Calls ---

    def _serve(self, handler: StreamRequestHandler) -> None:
        while (message := read_message(handler.rfile)) is not None:
            self.calls += 1
            if self.mode == "reset":
                return
            status, body = (503, {}) if self.mode == "busy" else self._answer(message[0])
            if self.mode == "silent":
                handler.rfile.read()  # Returns when the reader closes the connection.
                return
            fields = {"Content-Type": "application/json", "Store-Era": str(self._epoch)}
            handler.wfile.write(answer_bytes(status, fields, json.dumps(body).encode()))

    def _answer(self, first: str) -> tuple[int, dict]:
        target = urllib.parse.urlsplit(first.split()[1])
        query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
        with self._lock:
            if target.path == "/api/kv-range":
                return 200, self._range(query)
            return self._watch(query)

    def _range(self, query: dict[str, str]) -> dict:
        after = query.get("after", "")
        keys = sorted(k for k in self._item_by_key if k.startswith(query["prefix"]) and k > after)
        items, page_bytes = [], 0
        for key in keys[:PAGE_ITEMS]:
            if page_bytes > PAGE_BYTES:
                break
            items.append(self._item_by_key[key])
            page_bytes += len(items[-1]["value"])
        is_truncated = len(items) < len(keys)
        return {"items": items, "truncated": is_truncated, "current_rev": self._revision}

    def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if not self._last_forgotten_revision <= after <= self._revision:
                return 410, {"error": "history gone"}
            events = [e for e in self._log if e["revision"] > after]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self._revision}
            self._lock.wait(left_s)
