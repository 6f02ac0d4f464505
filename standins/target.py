"""A stand-in for a target, with slots, a record of executions, and faults.

It answers all paths.  ``/load`` reports a load that is out of date.
``/standin/record`` (GET) returns the executions by the ``X-Request-Id`` of
the caller; ``/standin/mode`` (POST) sets the behavior.
"""

from __future__ import annotations

import argparse
import collections
import contextlib
import dataclasses
import http
import http.server
import os
import random
import select
import socket
import socketserver
import sys
import threading
import time
import typing

import msgspec

from standins import broken_answers

SLOTS: typing.Final = 12
MAX_CONNECTIONS: typing.Final = 120
LOAD_REPORT_INTERVAL_S: typing.Final = 2.0
SLOT_WAIT_S: typing.Final = 0.05
ENDLESS_TIMEOUT_S: typing.Final = 5.0
MALFORMED_STARTS: typing.Final = (
    "HTTP/1.1 200 OK",
    "HTTP/1.1 503 Service Unavailable\r\nChiveroad-Ran: no\r\nRetry-After: 1",
    "HTTP/1.1 200 OK\r\nChiveroad-Leaving: 1\r\nChiveroad-Rate-Limit: 0.01",
    "HTTP/1.1 000 OK",
)
"""What malformed heads begin with."""

LAST_RECORD: typing.Final = b"last record: "
"""The start of the line of the log with the record of a process that a request
has ended."""

"""How long a caller of an endless answer may not read before it is ended."""


class Mode(msgspec.Struct):
    """The behavior of a target.

    ``service_ms`` is the service time of a request, ``answer_bytes`` the size
    of its answer.  ``fault`` is one of ``close`` (the connection is closed
    without an answer), ``cut`` (half of the answer), ``stall`` (half of the
    answer, then no bytes for ``late_ms``), ``crossed`` (the answer of another
    request), ``late`` (the answer is delayed by ``late_ms``), ``extra`` (bytes
    after the answer), ``unframed`` (an answer without a length), ``shed``
    (load shedding: an answer that says that the request didn't run),
    ``error`` (status 500), ``endless`` (a body without end, until the
    connection is closed) and ``malformed`` (a malformed head, with statements
    that aren't true).  For ``cold_s`` after the start of the target,
    requests take ten times as long.  ``reported_load``, unless negative, is
    reported in place of the actual load.  ``rate_limit`` is the text of the
    limit that answers state, and ``leaving`` has them state a leave.  A
    request whose path contains ``ends_on`` ends the process while it runs.
    """

    service_ms: float = 5.0
    answer_bytes: int = 200
    fault: str = ""
    late_ms: float = 0.0
    cold_s: float = 0.0
    chunked: bool = False
    reported_load: int = -1
    rate_limit: str = ""
    leaving: bool = False
    ends_on: str = ""


class Arrival(msgspec.Struct):
    """A request as it arrived, and what its answer stated.

    ``request`` is the caller's id, and ``entry_request`` that of the entry,
    which identifies the process of the entry.  Times are in monotonic
    seconds, and ``answered_s`` is 0 without a complete answer.
    """

    request: str
    entry_request: str
    arrived_s: float
    answered_s: float = 0.0
    rate_limit: str = ""
    leaving: bool = False


class Execution(msgspec.Struct):
    """The executions of one request id on this target."""

    runs: int = 0
    finished: int = 0
    cancelled: int = 0
    started_at_ms: float = 0.0


@dataclasses.dataclass
class Target:
    """The state of one target.

    ``ends_on`` is as in ``Mode``, whatever the mode is.
    """

    name: str
    mode: Mode = dataclasses.field(default_factory=Mode)
    ends_on: str = ""
    record: dict[str, Execution] = dataclasses.field(default_factory=dict)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    running: int = 0
    peak_running: int = 0
    connections: int = 0
    published_load: int = 0
    next_load: int = 0
    published_at_s: float = 0.0
    over_slots: int = 0
    started_s: float = dataclasses.field(default_factory=time.monotonic)
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)
    free_slots: threading.Semaphore = dataclasses.field(
        default_factory=lambda: threading.Semaphore(SLOTS)
    )
    recent_requests: collections.deque[str] = dataclasses.field(
        default_factory=lambda: collections.deque(["nobody"], maxlen=2)
    )

    def begin(self, request: str) -> None:
        """Record that a request starts to run."""
        with self.lock:
            execution = self.record.setdefault(request, Execution())
            execution.runs += 1
            execution.started_at_ms = time.time() * 1000
            self.running += 1
            self.peak_running = max(self.peak_running, self.running)
            if self.running > SLOTS:
                self.over_slots += 1
            self.recent_requests.append(request)

    def arrive(self, request: str, entry_request: str) -> Arrival:
        """Record that a request has arrived."""
        arrival = Arrival(request, entry_request, time.monotonic())
        with self.lock:
            self.arrivals.append(arrival)
        return arrival

    def end(self, request: str, cancelled: bool) -> None:
        """Record that a request ended."""
        with self.lock:
            self.running -= 1
            execution = self.record[request]
            execution.cancelled += cancelled
            execution.finished += not cancelled

    def current_load_report(self) -> int:
        """Return the reported load.

        This is ``Mode.reported_load`` or, if that is negative, the load at the
        previous sample, which is at least ``LOAD_REPORT_INTERVAL_S`` old.
        """
        if self.mode.reported_load >= 0:
            return self.mode.reported_load
        with self.lock:
            if time.monotonic() - self.published_at_s > LOAD_REPORT_INTERVAL_S:
                self.published_at_s = time.monotonic()
                self.published_load, self.next_load = (
                    self.next_load,
                    self.running,
                )
            return self.published_load

    def service_s(self) -> float:
        """Return the service time of a request that starts now."""
        cold = time.monotonic() - self.started_s < self.mode.cold_s
        return self.mode.service_ms * (10 if cold else 1) / 1000


class Handler(http.server.BaseHTTPRequestHandler):
    """Handles one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 64 * 1024
    target: Target

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""

    def setup(self) -> None:
        """Count the connection; close it if there are too many."""
        super().setup()
        with self.target.lock:
            self.target.connections += 1
            over_limit = self.target.connections > MAX_CONNECTIONS
        if over_limit:
            self.connection.shutdown(socket.SHUT_RDWR)

    def finish(self) -> None:
        """Count the connection as closed."""
        super().finish()
        with self.target.lock:
            self.target.connections -= 1

    def do_GET(self) -> None:
        """Run a request, or return the record or the load."""
        if self.path == "/standin/record":
            self._answer(http.HTTPStatus.OK, self._encoded_record())
            return
        if self.path == "/load":
            load = self.target.current_load_report()
            body = msgspec.json.encode({"running": load, "slots": SLOTS})
            self._answer(http.HTTPStatus.OK, body)
            return
        self._handle_request()

    def do_POST(self) -> None:
        """Run a request, or set the mode."""
        if self.path == "/standin/mode":
            body = self.rfile.read(int(self.headers["Content-Length"]))
            self.target.mode = msgspec.json.decode(body, type=Mode)
            self._answer(http.HTTPStatus.OK, b"{}")
            return
        self._handle_request()

    def do_HEAD(self) -> None:
        """Run a request."""
        self._handle_request()

    do_PUT = do_PATCH = do_DELETE = do_HEAD

    def _encoded_record(self) -> bytes:
        target = self.target
        with target.lock:
            return msgspec.json.encode(
                {
                    "name": target.name,
                    "peak": target.peak_running,
                    "over_slots": target.over_slots,
                    "running": target.running,
                    "record": target.record,
                    "arrivals": target.arrivals,
                }
            )

    def _handle_request(self) -> None:
        target = self.target
        mode = target.mode
        if mode.fault == "close":
            self.close_connection = True
            return
        body = self._read_body()
        request = self.headers.get("X-Request-Id", "")
        arrival = target.arrive(
            request, self.headers.get("Chiveroad-Request", "")
        )
        if mode.fault == "shed":
            headers = {
                **_statements(mode),
                "Chiveroad-Ran": "no",
                "Retry-After": "1",
            }
            self._answer(http.HTTPStatus.SERVICE_UNAVAILABLE, b"", headers)
            return
        cancelled = self._run_in_slot(request)
        if cancelled:
            self.close_connection = True
            return
        ends_on = mode.ends_on or target.ends_on
        if ends_on and ends_on in self.path:
            self._end_process()
        # The mode may have changed while the request ran.
        stated = target.mode
        self._answer_run(mode, request, body, _statements(stated))
        arrival.rate_limit, arrival.leaving = stated.rate_limit, stated.leaving
        arrival.answered_s = time.monotonic()

    def _end_process(self) -> typing.NoReturn:
        line = LAST_RECORD + self._encoded_record() + b"\n"
        sys.stdout.buffer.write(line)
        sys.stdout.buffer.flush()
        os._exit(1)

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

    def _run_in_slot(self, request: str) -> bool:
        """Run a request in a free slot; return whether it was cancelled."""
        target = self.target
        while not target.free_slots.acquire(timeout=SLOT_WAIT_S):
            if self._wait_or_cancel(0):
                return True
        try:
            target.begin(request)
            cancelled = self._wait_or_cancel(target.service_s())
            target.end(request, cancelled)
        finally:
            target.free_slots.release()
        return cancelled

    def _wait_or_cancel(self, service_s: float) -> bool:
        """Wait for the service time; return whether the peer closed first."""
        poll = select.poll()
        poll.register(self.connection, select.POLLRDHUP)
        return bool(poll.poll(service_s * 1000))

    def _answer_run(
        self,
        mode: Mode,
        request: str,
        body: bytes,
        statements: dict[str, str],
    ) -> None:
        if mode.fault == "late":
            time.sleep(mode.late_ms / 1000)
        answer_id = request
        if mode.fault == "crossed":
            answer_id = self.target.recent_requests[0]
        answer = msgspec.json.encode(
            {
                "request": answer_id,
                "upstream": self.target.name,
                "path": self.path,
                "received_bytes": len(body),
            }
        ).ljust(mode.answer_bytes)
        chiveroad_request = self.headers.get("Chiveroad-Request", "")
        if mode.fault == "crossed":
            chiveroad_request = f"not-{chiveroad_request}"
        headers = {
            "X-Request-Id": answer_id,
            "Chiveroad-Request": chiveroad_request,
            **statements,
        }
        status = http.HTTPStatus.OK
        if mode.fault == "error":
            status = http.HTTPStatus.INTERNAL_SERVER_ERROR
        if mode.fault in ("cut", "stall"):
            self._answer_truncated(answer, mode.late_ms / 1000)
            return
        if mode.fault == "unframed":
            self._answer_unframed(answer)
            return
        if mode.fault == "malformed":
            self._answer_malformed(answer, headers)
            return
        if mode.fault == "endless":
            self._answer_without_end(headers)
            return
        if mode.chunked:
            self._answer_chunked(answer, headers)
            return
        self._answer(status, answer, headers)
        if mode.fault == "extra":
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            self.wfile.flush()

    def _answer_truncated(self, answer: bytes, stall_s: float) -> None:
        self.send_response(http.HTTPStatus.OK)
        self.send_header("Content-Length", str(len(answer)))
        self.end_headers()
        self.wfile.write(answer[: len(answer) // 2])
        self.wfile.flush()
        time.sleep(stall_s)
        self.close_connection = True

    def _answer_unframed(self, answer: bytes) -> None:
        self.send_response(http.HTTPStatus.OK)
        self.end_headers()
        self.wfile.write(answer)
        self.wfile.flush()
        self.close_connection = True

    def _answer_malformed(
        self, answer: bytes, headers: dict[str, str]
    ) -> None:
        rng = random.Random(headers["X-Request-Id"])
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([rng.choice(MALFORMED_STARTS), *lines, ""]).encode()
        line = rng.choice(broken_answers.MALFORMED_LINES)
        self.wfile.write(head + line + b"\r\n\r\n" + answer)
        self.wfile.flush()

    def _answer_without_end(self, headers: dict[str, str]) -> None:
        self.close_connection = True
        self.send_response(http.HTTPStatus.OK)
        self.send_header("Transfer-Encoding", "chunked")
        for name, value in headers.items():
            self.send_header(name, value)
        self.end_headers()
        piece = b"x" * 64 * 1024
        self.connection.settimeout(ENDLESS_TIMEOUT_S)
        with contextlib.suppress(OSError):
            self.wfile.write(b"fffffffff\r\n")
            while True:
                self.wfile.write(piece)

    def _answer_chunked(self, answer: bytes, headers: dict[str, str]) -> None:
        self.send_response(http.HTTPStatus.OK)
        self.send_header("Transfer-Encoding", "chunked")
        for name, value in headers.items():
            self.send_header(name, value)
        self.end_headers()
        chunk_bytes = 16 * 1024
        for start in range(0, len(answer), chunk_bytes):
            chunk = answer[start : start + chunk_bytes]
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


def _statements(mode: Mode) -> dict[str, str]:
    """Return the headers in which a target states its limit and its leave."""
    headers = {}
    if mode.rate_limit:
        headers["Chiveroad-Rate-Limit"] = mode.rate_limit
    if mode.leaving:
        headers["Chiveroad-Leaving"] = "1"
    return headers


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """An HTTP server with a thread for each connection."""

    daemon_threads = True
    request_queue_size = 512


def serve(
    name: str, port: int, mode: Mode | None = None, ends_on: str = ""
) -> Server:
    """Return a target that is bound to its port but not yet running."""
    target = Target(name, mode or Mode(), ends_on)
    handler = type("BoundHandler", (Handler,), {"target": target})
    return Server(("127.0.0.1", port), handler)


def main() -> None:
    """Run one or more targets until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "targets", nargs="+", metavar="NAME:PORT", help="what to serve"
    )
    parser.add_argument("--cold-s", type=float, default=0.0)
    parser.add_argument("--ends-on", default="")
    arguments = parser.parse_args()
    for name_and_port in arguments.targets:
        name, _, port = name_and_port.partition(":")
        mode = Mode(cold_s=arguments.cold_s)
        server = serve(name, int(port), mode, arguments.ends_on)
        threading.Thread(target=server.serve_forever, daemon=True).start()
    threading.Event().wait()


if __name__ == "__main__":
    main()
