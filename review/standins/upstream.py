"""A stand-in for an upstream: it runs requests and sends heartbeats."""

import http.client
import http.server
import json
import random
import select
import threading
import time

STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
NOT_PASSED_ON = {
    "connection",
    "content-length",
    "content-type",
    "date",
    "keep-alive",
    "server",
    "transfer-encoding",
    "x-request-id",
    "x-server-stamp",
}
"""Headers of one connection or one body, and the marks of an answer."""


class Upstream:
    """An upstream of a service on one machine.

    :param work_s: returns how long a request takes, by its path.
    :param record: called with what happens, for the record of the case.
    """

    def __init__(self, machine, service, name, born, record, work_s, slots=12):
        self.machine = machine
        self.service = service
        self.id = name
        self.born = born
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.state = "ready"
        self.seq = 0
        self.acknowledged_s = None
        self.call = None
        self.shed_share = 0.0
        self.runs = []
        self.running = True
        self.beats = True
        self.lock = threading.Lock()
        self._server = None
        self._connections = set()

    def start(self, heartbeats=True):
        """Serve requests, and send heartbeats."""
        handler = type("BoundHandler", (_Handler,), {"upstream": self})
        self._server = _Server(
            (self.machine.ip, self.machine.ports["app"]), handler
        )
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()
        self.record(
            f"upstream {self.id} of {self.service} starts, born {self.born}"
        )
        if heartbeats:
            threading.Thread(target=self._beat, daemon=True).start()

    def crash(self):
        """End at once: all connections are reset, nothing is sent."""
        self.running = False
        self._server.shutdown()
        self._server.server_close()
        for connection in list(self._connections):
            try:
                connection.shutdown(2)
            except OSError:
                continue
        self.record(f"upstream {self.id} crashes")

    def _beat(self):
        while self.running and self.beats:
            self.beat()
            time.sleep(self.machine.heartbeat_interval_s)

    def beat(self):
        """Send one heartbeat; return whether it was acknowledged."""
        with self.lock:
            self.seq += 1
            body = {
                "address": f"{self.machine.ip}:{self.machine.ports['app']}",
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.machine.zone,
                    "slots": self.slots,
                },
                "status": {
                    "state": self.state,
                    "seq": self.seq,
                    "cold_remaining_s": 0,
                },
                "born": self.born,
            }
        state = body["status"]["state"]
        acknowledged = self._call("instances.heartbeat", body)
        if acknowledged and state == "draining" and not self.acknowledged_s:
            self.acknowledged_s = time.monotonic()
            self.record(
                f"upstream {self.id}: `draining` (seq {self.seq}) acknowledged"
            )
        return acknowledged

    def deregister(self):
        """Announce the end; return whether it was acknowledged."""
        acknowledged = self._call("instances.deregister", {})
        if acknowledged and not self.acknowledged_s:
            self.acknowledged_s = time.monotonic()
            self.record(f"upstream {self.id}: deregistering acknowledged")
        return acknowledged

    def _call(self, call, body):
        host = self.machine.ip
        connection = http.client.HTTPConnection(
            host,
            self.machine.ports["control"],
            timeout=1,
            source_address=(host, 0),
        )
        try:
            connection.request(
                "POST",
                f"/rpc?call={call}&of={self.id}",
                json.dumps(body),
                {"Content-Type": "application/json"},
            )
            return 200 <= connection.getresponse().status < 300
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 64 * 1024
    upstream = None

    def log_message(self, *_):
        """Log nothing."""

    def setup(self):
        """Keep the connection, so that a crash can close it."""
        super().setup()
        self.upstream._connections.add(self.connection)

    def finish(self):
        """Forget the connection."""
        self.upstream._connections.discard(self.connection)
        try:
            super().finish()
        except OSError:
            return

    def _handle(self):
        upstream = self.upstream
        length = int(self.headers.get("Content-Length") or 0)
        if length:
            self.rfile.read(length)
        request = self.headers.get("X-Request-Id", "")
        expected = self.headers.get("X-Expected-Instance", "")
        if not upstream.running:
            self.close_connection = True
            return
        if expected and expected != upstream.id:
            self._answer(421, b"", {"X-Instance-Id": upstream.id})
            return
        if random.random() < upstream.shed_share:
            upstream.record(f"upstream {upstream.id} sheds {request}")
            self._answer(503, b"", {"X-Not-Executed": "1"})
            return
        run = {
            "id": request,
            "at_s": time.monotonic(),
            "method": self.command,
            "path": self.path,
            "caller": self.headers.get("X-Caller-Service", ""),
            "deadline_ms": self.headers.get("X-Deadline-Ms", ""),
            "ended": "",
        }
        with upstream.lock:
            upstream.runs.append(run)
        upstream.record(
            f"upstream {upstream.id} of {upstream.service} runs {request} "
            f"{self.command} {self.path}, deadline {run['deadline_ms']} ms"
        )
        poll = select.poll()
        poll.register(self.connection, select.POLLRDHUP)
        if poll.poll(1000 * upstream.work_s(self.path)):
            run["ended"] = "cancelled"
            upstream.record(
                f"upstream {upstream.id}: {request} cancelled, the connection "
                "was closed"
            )
            self.close_connection = True
            return
        headers = {"X-Server-Stamp": STAMP}
        status = 200
        if upstream.call is not None:
            failed = upstream.call(self.path)
            if failed is not None:
                # The program's HTTP library gives names in lower case, and
                # it passes on what it was told about the failure.
                status = 500
                headers.update(
                    (name, value)
                    for name, value in failed.headers.items()
                    if name not in NOT_PASSED_ON
                )
        run["ended"] = f"answered {status}"
        self._answer(status, f"{upstream.service} {request}".encode(), headers)

    do_GET = do_POST = do_PUT = do_DELETE = _handle

    def _answer(self, status, body, headers):
        try:
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.send_header(
                "X-Request-Id", self.headers.get("X-Request-Id", "")
            )
            for name, value in headers.items():
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(body)
            self.wfile.flush()
        except OSError:
            self.close_connection = True
