"""A stand-in for the object API of the platform, as one process.

Besides the contract of ``docs/PLATFORM.md`` it answers ``/faults`` (POST
sets an outage, a delay, and for how many writes the answer is lost after the
write took effect), ``/calls`` (GET returns the number of calls by kind of
call), ``/compact`` (POST drops the history of the watches), ``/copy`` (POST
takes a copy of the objects) and ``/restore`` (POST goes back to that copy).
"""

from __future__ import annotations

import argparse
import collections
import http
import http.server
import socketserver
import threading
import time
import typing
import urllib.parse

import msgspec

from chiveroad import errors
from chiveroad import store
from standins import malformed
from standins import memory_store

PREFIX: typing.Final = "/apis/chiveroad/v1/"

_ERROR_STATUS: typing.Final = {
    errors.StoreNotFound: http.HTTPStatus.NOT_FOUND,
    errors.StoreConflict: http.HTTPStatus.CONFLICT,
    errors.StoreExpired: http.HTTPStatus.GONE,
    errors.StoreTooLarge: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
}


class Faults(msgspec.Struct):
    """The faults that are in effect.

    ``outage`` refuses all calls with status 503, ``delay_ms`` delays each
    call.  ``lose_answers`` is for how many more writes the answer is lost
    after the write took effect; ``lose_kind`` limits this to one kind of
    object.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    lose_kind: str = ""


class ObjectApi:
    """The state of the server: objects, faults, and the call counter."""

    def __init__(self) -> None:
        self.store = memory_store.MemoryStore()
        self.copy = self.store.take_copy()
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.lock = threading.Lock()

    def version(self, number: int) -> store.Revision:
        """Return a version of the present era."""
        if number == store.ABSENT.number:
            return store.ABSENT
        return store.Revision(self.store.eras.current, number)

    def count(self, call: str) -> None:
        """Count a call."""
        with self.lock:
            self.calls[call] += 1

    def consume_lost_answer(self, kind: str) -> bool:
        """Return whether to lose the answer of a write, and count it if so."""
        with self.lock:
            if not self.faults.lose_answers:
                return False
            if self.faults.lose_kind not in ("", kind):
                return False
            self.faults.lose_answers -= 1
            return True


class Handler(http.server.BaseHTTPRequestHandler):
    """Handles one connection of a client."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 64 * 1024
    era_header = store.ERA_HEADER
    api: ObjectApi

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""

    def do_GET(self) -> None:
        """Get, list or watch objects, or return the number of calls."""
        if self.path == "/calls":
            self._answer(http.HTTPStatus.OK, dict(self.api.calls))
            return
        self._handle(self._get_or_list)

    def do_PUT(self) -> None:
        """Write an object if its version is the expected one."""
        self._handle(self._put)

    def do_DELETE(self) -> None:
        """Delete an object if its version is the expected one."""
        self._handle(self._delete)

    def do_POST(self) -> None:
        """Set the faults, or drop the history."""
        body = self._read_body()
        if self.path == "/faults":
            self.api.faults = msgspec.json.decode(body, type=Faults)
        elif self.path == "/compact":
            self.api.store.compact()
        elif self.path == "/copy":
            self.api.copy = self.api.store.take_copy()
        elif self.path == "/restore":
            self.api.store.restore(self.api.copy)
        elif self.path == "/malformed-entry":
            store.overwrite(
                self.api.store,
                store.Kind.DOMAINS,
                "malformed",
                msgspec.Raw(malformed.DEEP),
            )
        self._answer(http.HTTPStatus.OK, {})

    def _handle(
        self, operation: "collections.abc.Callable[..., None]"
    ) -> None:
        body = self._read_body()
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind_text, _, name = url.path.removeprefix(PREFIX).partition("/")
        if self.api.faults.delay_ms:
            time.sleep(self.api.faults.delay_ms / 1000)
        if self.api.faults.outage:
            self.api.count("refused")
            self._answer(http.HTTPStatus.SERVICE_UNAVAILABLE, {})
            return
        try:
            kind = store.Kind(kind_text)
            operation(kind, urllib.parse.unquote(name), query, body)
        except ValueError:
            self._answer(http.HTTPStatus.BAD_REQUEST, {})
        except errors.StoreError as exc:
            self._answer(_ERROR_STATUS[type(exc)], {"message": str(exc)})

    def _get_or_list(
        self, kind: store.Kind, name: str, query: dict[str, str], _: bytes
    ) -> None:
        if name:
            self.api.count(f"get {kind.value}")
            stored = self.api.store.get(kind, name)
            self._answer(http.HTTPStatus.OK, _encoded_object(stored))
            return
        if "watch" in query:
            self.api.count(f"watch {kind.value}")
            self._watch(
                kind,
                store.Revision(
                    self.api.store.eras.current, int(query["resourceVersion"])
                ),
                float(query.get("timeoutSeconds", "30")),
            )
            return
        self.api.count(f"list {kind.value}")
        listing = self.api.store.list(kind, query.get("prefix", ""))
        answer = {
            "metadata": {"resourceVersion": str(listing.version.number)},
            "items": [_encoded_object(item) for item in listing.objects],
        }
        self._answer(http.HTTPStatus.OK, answer)

    def _put(
        self, kind: store.Kind, name: str, query: dict[str, str], body: bytes
    ) -> None:
        self.api.count(f"put {kind.value}")
        request = msgspec.json.decode(body)
        number = int(request["metadata"]["resourceVersion"])
        version = self.api.version(number)
        written = self.api.store.put(kind, name, request["spec"], version)
        if self.api.consume_lost_answer(kind.value):
            self.close_connection = True
            return
        metadata = {
            "name": name,
            "resourceVersion": str(written.version.number),
        }
        self._answer(http.HTTPStatus.OK, {"metadata": metadata})

    def _delete(
        self, kind: store.Kind, name: str, query: dict[str, str], _: bytes
    ) -> None:
        self.api.count(f"delete {kind.value}")
        version = self.api.version(int(query["resourceVersion"]))
        self.api.store.delete(kind, name, version)
        if self.api.consume_lost_answer(kind.value):
            self.close_connection = True
            return
        self._answer(http.HTTPStatus.OK, {})

    def _watch(
        self, kind: store.Kind, version: store.Revision, timeout_s: float
    ) -> None:
        end_s = time.monotonic() + timeout_s
        events = self.api.store.watch(kind, version, 0)
        past_events = list(events)
        self.send_response(http.HTTPStatus.OK)
        self.send_header(self.era_header, str(version.era))
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self._send_events(past_events)
        version = max([version, *(event.version for event in past_events)])
        while time.monotonic() < end_s and not self.api.faults.outage:
            wait_s = min(0.5, end_s - time.monotonic())
            for event in self.api.store.watch(kind, version, wait_s):
                if self.api.faults.outage:
                    break
                self._send_events([event])
                version = event.version
                break
        if self.api.faults.outage:
            self.close_connection = True
            return
        self.wfile.write(b"0\r\n\r\n")
        self.wfile.flush()

    def _send_events(self, events: list[store.Event]) -> None:
        for event in events:
            assert event.object is not None
            line = msgspec.json.encode(
                {
                    "type": event.type.value,
                    "object": _encoded_object(event.object),
                }
            )
            self.wfile.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
        self.wfile.flush()

    def _read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length", "0")))

    def _answer(self, status: int, value: object) -> None:
        body = msgspec.json.encode(value)
        self.send_response(status)
        era = self.api.store.eras.current
        self.send_header(self.era_header, str(era))
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


def _encoded_object(item: store.StoredObject) -> dict[str, object]:
    metadata = {
        "name": item.name,
        "resourceVersion": str(item.version.number),
    }
    return {"metadata": metadata, "spec": item.spec}


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """An HTTP server with a thread for each connection."""

    daemon_threads = True
    request_queue_size = 512
    api: ObjectApi


def serve(host: str, port: int) -> Server:
    """Return a server that is bound to its port but not yet running."""
    api = ObjectApi()
    handler = type("BoundHandler", (Handler,), {"api": api})
    server = Server((host, port), handler)
    server.api = api
    return server


def main() -> None:
    """Run the stand-in until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    serve("127.0.0.1", arguments.port).serve_forever()


if __name__ == "__main__":
    main()
