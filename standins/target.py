"""The stand-in for a target: slots, a record of what ran, and faults.

It answers every path.  ``/load`` reports its load, late.
``/standin/record`` (GET) tells what ran, by the caller's ``X-Request-Id``;
``/standin/mode`` (POST) sets how it behaves.
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import http
import http.server
import select
import socket
import socketserver
import threading
import time
import typing

import msgspec

SLOTS: typing.Final = 12
CONNECTIONS: typing.Final = 120
LAG_S: typing.Final = 2.0
SLOT_POLL_S: typing.Final = 0.05


class Mode(msgspec.Struct):
    """How a target behaves.

    ``service_ms`` is the time of one request, ``answer_bytes`` the size of
    its answer.  ``fault`` is one of ``close`` (accept and close), ``cut``
    (half an answer), ``stall`` (half, then ``late_ms`` of nothing),
    ``crossed`` (another request's answer), ``late`` (the answer comes
    ``late_ms`` later), ``extra`` (bytes after the answer), ``unframed`` (no
    length), ``shed`` (not run, and says so), ``error``.  ``cold_s`` is how
    long after its start it takes ten times as long.  ``reported_load`` is
    what it says of its load, where that is to be a lie.
    """

    service_ms: float = 5.0
    answer_bytes: int = 200
    fault: str = ""
    late_ms: float = 0.0
    cold_s: float = 0.0
    chunked: bool = False
    reported_load: int = -1


class Execution(msgspec.Struct):
    """What became of one request id here."""

    runs: int = 0
    finished: int = 0
    cancelled: int = 0
    started_at_ms: float = 0.0


@dataclasses.dataclass
class Target:
    """The state of one target."""

    name: str
    mode: Mode = dataclasses.field(default_factory=Mode)
    record: dict[str, Execution] = dataclasses.field(default_factory=dict)
    running: int = 0
    peak: int = 0
    connections: int = 0
    report: int = 0
    next_report: int = 0
    report_s: float = 0.0
    over_slots: int = 0
    started_s: float = dataclasses.field(default_factory=time.monotonic)
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)
    free: threading.Semaphore = dataclasses.field(
        default_factory=lambda: threading.Semaphore(SLOTS)
    )
    previous: collections.deque[str] = dataclasses.field(
        default_factory=lambda: collections.deque(["nobody"], maxlen=2)
    )

    def begin(self, request: str) -> None:
        """Note that a request runs."""
        with self.lock:
            execution = self.record.setdefault(request, Execution())
            execution.runs += 1
            execution.started_at_ms = time.time() * 1000
            self.running += 1
            self.peak = max(self.peak, self.running)
            if self.running > SLOTS:
                self.over_slots += 1
            self.previous.append(request)

    def end(self, request: str, cancelled: bool) -> None:
        """Note that a request ended."""
        with self.lock:
            self.running -= 1
            execution = self.record[request]
            execution.cancelled += cancelled
            execution.finished += not cancelled

    def reported(self) -> int:
        """Return the load as the target reports it: old, or a lie."""
        if self.mode.reported_load >= 0:
            return self.mode.reported_load
        with self.lock:
            if time.monotonic() - self.report_s > LAG_S:
                self.report_s = time.monotonic()
                self.report, self.next_report = self.next_report, self.running
            return self.report

    def service_s(self) -> float:
        """Return how long a request takes now."""
        cold = time.monotonic() - self.started_s < self.mode.cold_s
        return self.mode.service_ms * (10 if cold else 1) / 1000


class Handler(http.server.BaseHTTPRequestHandler):
    """One connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 64 * 1024
    target: Target

    def log_message(self, format: str, *args: object) -> None:
        """Stay silent."""

    def setup(self) -> None:
        """Count the connection, and close what is over the cap."""
        super().setup()
        with self.target.lock:
            self.target.connections += 1
            over = self.target.connections > CONNECTIONS
        if over:
            self.connection.shutdown(socket.SHUT_RDWR)

    def finish(self) -> None:
        """Count the connection as gone."""
        super().finish()
        with self.target.lock:
            self.target.connections -= 1

    def do_GET(self) -> None:
        """Run a request, or tell the record."""
        if self.path == "/standin/record":
            self._answer(http.HTTPStatus.OK, self._told())
            return
        if self.path == "/load":
            load = self.target.reported()
            body = msgspec.json.encode({"running": load, "slots": SLOTS})
            self._answer(http.HTTPStatus.OK, body)
            return
        self._run()

    def do_POST(self) -> None:
        """Run a request, or set the mode."""
        if self.path == "/standin/mode":
            body = self.rfile.read(int(self.headers["Content-Length"]))
            self.target.mode = msgspec.json.decode(body, type=Mode)
            self._answer(http.HTTPStatus.OK, b"{}")
            return
        self._run()

    def do_HEAD(self) -> None:
        """Run a request."""
        self._run()

    do_PUT = do_PATCH = do_DELETE = do_HEAD

    def _told(self) -> bytes:
        target = self.target
        with target.lock:
            return msgspec.json.encode(
                {
                    "name": target.name,
                    "peak": target.peak,
                    "over_slots": target.over_slots,
                    "running": target.running,
                    "record": target.record,
                }
            )

    def _run(self) -> None:
        target = self.target
        mode = target.mode
        if mode.fault == "close":
            self.close_connection = True
            return
        body = self._read_body()
        if mode.fault == "shed":
            headers = {"Chiveroad-Ran": "no", "Retry-After": "1"}
            self._answer(http.HTTPStatus.SERVICE_UNAVAILABLE, b"", headers)
            return
        request = self.headers.get("X-Request-Id", "")
        cancelled = self._work_in_slot(request)
        if cancelled:
            self.close_connection = True
            return
        self._answer_run(mode, request, body)

    def _read_body(self) -> bytes:
        if self.headers.get("Transfer-Encoding") == "chunked":
            return self._read_chunks()
        return self.rfile.read(int(self.headers.get("Content-Length", "0")))

    def _read_chunks(self) -> bytes:
        body = b""
        while size := int(self.rfile.readline().strip() or b"0", 16):
            body += self.rfile.read(size)
            self.rfile.readline()
        self.rfile.readline()
        return body

    def _work_in_slot(self, request: str) -> bool:
        """Run a request once a slot is free; True when it was cancelled."""
        target = self.target
        while not target.free.acquire(timeout=SLOT_POLL_S):
            if self._work(0):
                return True
        try:
            target.begin(request)
            cancelled = self._work(target.service_s())
            target.end(request, cancelled)
        finally:
            target.free.release()
        return cancelled

    def _work(self, service_s: float) -> bool:
        """Take the time of the request; True when the peer gave up on it."""
        poll = select.poll()
        poll.register(self.connection, select.POLLRDHUP)
        return bool(poll.poll(service_s * 1000))

    def _answer_run(self, mode: Mode, request: str, body: bytes) -> None:
        if mode.fault == "late":
            time.sleep(mode.late_ms / 1000)
        told = request
        if mode.fault == "crossed":
            told = self.target.previous[0]
        answer = msgspec.json.encode(
            {
                "request": told,
                "upstream": self.target.name,
                "path": self.path,
                "received_bytes": len(body),
            }
        ).ljust(mode.answer_bytes)
        ours = self.headers.get("Chiveroad-Request", "")
        if mode.fault == "crossed":
            ours = f"not-{ours}"
        headers = {"X-Request-Id": told, "Chiveroad-Request": ours}
        status = http.HTTPStatus.OK
        if mode.fault == "error":
            status = http.HTTPStatus.INTERNAL_SERVER_ERROR
        if mode.fault in ("cut", "stall"):
            self._cut(answer, mode.late_ms / 1000)
            return
        if mode.fault == "unframed":
            self._unframed(answer)
            return
        if mode.chunked:
            self._chunked(answer, headers)
            return
        self._answer(status, answer, headers)
        if mode.fault == "extra":
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            self.wfile.flush()

    def _cut(self, answer: bytes, stall_s: float) -> None:
        self.send_response(http.HTTPStatus.OK)
        self.send_header("Content-Length", str(len(answer)))
        self.end_headers()
        self.wfile.write(answer[: len(answer) // 2])
        self.wfile.flush()
        time.sleep(stall_s)
        self.close_connection = True

    def _unframed(self, answer: bytes) -> None:
        self.send_response(http.HTTPStatus.OK)
        self.end_headers()
        self.wfile.write(answer)
        self.wfile.flush()
        self.close_connection = True

    def _chunked(self, answer: bytes, headers: dict[str, str]) -> None:
        self.send_response(http.HTTPStatus.OK)
        self.send_header("Transfer-Encoding", "chunked")
        for name, value in headers.items():
            self.send_header(name, value)
        self.end_headers()
        step = 16 * 1024
        for start in range(0, len(answer), step):
            chunk = answer[start : start + step]
            self.wfile.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
        self.wfile.write(b"0\r\n\r\n")
        self.wfile.flush()

    def _answer(
        self, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)
        self.wfile.flush()


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """A thread for each connection."""

    daemon_threads = True
    request_queue_size = 512


def serve(name: str, port: int, mode: Mode | None = None) -> Server:
    """Return a bound target that isn't running yet."""
    target = Target(name, mode or Mode())
    handler = type("BoundHandler", (Handler,), {"target": target})
    return Server(("127.0.0.1", port), handler)


def main() -> None:
    """Run one or more targets until ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "targets", nargs="+", metavar="NAME:PORT", help="what to serve"
    )
    parser.add_argument("--cold-s", type=float, default=0.0)
    arguments = parser.parse_args()
    for text in arguments.targets:
        name, _, port = text.partition(":")
        server = serve(name, int(port), Mode(cold_s=arguments.cold_s))
        threading.Thread(target=server.serve_forever, daemon=True).start()
    threading.Event().wait()


if __name__ == "__main__":
    main()
