"""A stand-in for the platform's metadata store, with drills.

It speaks the published calls: objects by kind and name with conditional
writes, lists, and watches as long polls.  ``away`` makes it answer 503, and
``restore`` puts a copy in its place that was taken earlier: revisions go back
and are given out again, a watch from a revision that the copy doesn't have
gets 410, and ``Store-Era`` rises by one.
"""

import copy
import http.server
import json
import threading
import time
import urllib.parse

PAGE = 500


class Conflict(Exception):
    """A write's revision isn't the object's."""


class Store:
    """Objects by kind and name, with one revision counter."""

    def __init__(self):
        self.changed = threading.Condition()
        self.objects = {}
        self.history = []
        self.revision = 1
        self.oldest = 1
        self.era = 1
        self.away = False
        self.on_call = lambda text: None

    def write(self, kind, name, spec, revision=None, create=False):
        """Create or replace an object, and return it."""
        with self.changed:
            found = self.objects.get((kind, name))
            if create and found is not None:
                raise Conflict(found)
            if not create and found is None:
                raise KeyError(name)
            if (
                revision is not None
                and found["metadata"]["revision"] != revision
            ):
                raise Conflict(found)
            if found is not None and found["spec"] == spec:
                return found
            self.revision += 1
            written = {
                "metadata": {
                    "name": name,
                    "revision": self.revision,
                    "create_rev": (
                        found["metadata"]["create_rev"]
                        if found
                        else self.revision
                    ),
                    "finalizers": [],
                    "deleting": False,
                },
                "spec": spec,
                "status": None,
            }
            self.objects[kind, name] = written
            self._record(kind, written, False)
            return written

    def delete(self, kind, name, revision=None):
        """Delete an object."""
        with self.changed:
            found = self.objects.get((kind, name))
            if found is None:
                raise KeyError(name)
            if (
                revision is not None
                and found["metadata"]["revision"] != revision
            ):
                raise Conflict(found)
            del self.objects[kind, name]
            self.revision += 1
            gone = copy.deepcopy(found)
            gone["metadata"]["revision"] = self.revision
            self._record(kind, gone, True)
            return gone

    def _record(self, kind, written, tombstone):
        self.history.append((self.revision, kind, written, tombstone))
        self.changed.notify_all()

    def take_copy(self):
        """Return a copy of the present state."""
        with self.changed:
            return copy.deepcopy((self.objects, self.history, self.revision))

    def restore(self, taken):
        """Continue from a copy; return how many revisions are lost."""
        with self.changed:
            lost = self.revision - taken[2]
            self.objects, self.history, self.revision = copy.deepcopy(taken)
            self.era += 1
            self.changed.notify_all()
            return lost

    def events(self, kind, after):
        """Return the changes after a revision, or None for a 410."""
        if after > self.revision or after < self.oldest:
            return None
        return [
            {"object": written, "tombstone": tombstone}
            for at, of, written, tombstone in self.history
            if of == kind and at > after
        ]

    def watch(self, kind, after, wait_s):
        """Wait for changes; return them with the revision, or None."""
        end_s = time.monotonic() + wait_s
        with self.changed:
            while True:
                if self.away:
                    return "away"
                events = self.events(kind, after)
                left_s = end_s - time.monotonic()
                if events is None:
                    return None
                if events or left_s <= 0:
                    return {"events": events, "as_of": self.revision}
                self.changed.wait(left_s)


class Handler(http.server.BaseHTTPRequestHandler):
    """Handles one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    store = None

    def log_message(self, *_):
        """Log nothing."""

    def _handle(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        if self.store.away:
            self._answer(503, {})
            return
        try:
            status, value = self._call(json.loads(body) if body else None)
        except Conflict as exc:
            status, value = 409, exc.args[0]
        except KeyError:
            status, value = 404, {}
        self._answer(status, value)

    do_GET = do_POST = do_PUT = do_DELETE = _handle

    def _call(self, body):
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        store = self.store
        if self.command == "GET" and name:
            return 200, store.objects[kind, name]
        if self.command == "GET" and "watch" in query:
            wait_s = min(30_000, int(query.get("wait_ms", 0))) / 1000
            found = store.watch(kind, int(query["watch"]), wait_s)
            if found == "away":
                return 503, {}
            return (410, {}) if found is None else (200, found)
        if self.command == "GET":
            with store.changed:
                after = query.get("after", "")
                items = [
                    item
                    for (of, at), item in sorted(store.objects.items())
                    if of == kind and at > after
                ]
                return 200, {
                    "items": items[:PAGE],
                    "has_more": len(items) > PAGE,
                    "as_of": store.revision,
                }
        if self.command == "DELETE":
            revision = query.get("revision")
            return 200, store.delete(
                kind, name, int(revision) if revision else None
            )
        metadata = body["metadata"]
        if self.command == "POST":
            return 200, store.write(
                kind, metadata["name"], body["spec"], create=True
            )
        return 200, store.write(
            kind, name, body["spec"], metadata.get("revision")
        )

    def _answer(self, status, value):
        body = json.dumps(value).encode()
        self.store.on_call(
            f"store, era {self.store.era}: {self.command} {self.path} from "
            f"{self.client_address[0]}: {status}"
        )
        try:
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.send_header("Store-Era", str(self.store.era))
            self.end_headers()
            self.wfile.write(body)
        except OSError:
            self.close_connection = True


class Server(http.server.ThreadingHTTPServer):
    """The server of a store."""

    daemon_threads = True
    request_queue_size = 512


def serve(host, port):
    """Serve a new store in the background, and return it."""
    store = Store()
    handler = type("BoundHandler", (Handler,), {"store": store})
    server = Server((host, port), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return store
