"""A path to the store that can turn its only client away."""

from __future__ import annotations

import socket
import struct
import threading
import typing

PASS: typing.Final = "pass"
SILENT: typing.Final = "silent"
RESET: typing.Final = "reset"
_NO_LINGER: typing.Final = struct.pack("ii", 1, 0)


class Gate:
    """Forwards connections to an address, or turns them away.

    ``mode`` is ``PASS``, ``SILENT``, ``RESET``, or a status that each request
    is answered with.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._open: set[socket.socket] = set()
        self._mode = PASS
        threading.Thread(target=self._accept, daemon=True).start()

    def set_mode(self, mode: str) -> None:
        """Set the mode, and close all connections of the former one."""
        self._mode = mode
        while self._open:
            try:
                self._open.pop().shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def close(self) -> None:
        """Stop listening, and close all connections."""
        self._listener.close()
        self.set_mode(RESET)

    def _accept(self) -> None:
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            self._open.add(accepted)
            threading.Thread(
                target=self._serve, args=(accepted,), daemon=True
            ).start()

    def _serve(self, client: socket.socket) -> None:
        mode = self._mode
        with client:
            if mode == RESET:
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
                )
            elif mode == PASS:
                self._forward(client)
            else:
                self._turn_away(client, mode)

    def _turn_away(self, client: socket.socket, mode: str) -> None:
        answer = f"HTTP/1.1 {mode} No\r\nContent-Length: 0\r\n\r\n".encode()
        try:
            while client.recv(65_536):
                if mode != SILENT:
                    client.sendall(answer)
        except OSError:
            return

    def _forward(self, client: socket.socket) -> None:
        with socket.create_connection(self._target) as server:
            self._open.add(server)
            back = threading.Thread(target=_copy, args=(server, client))
            back.start()
            _copy(client, server)
            back.join()


def _copy(source: socket.socket, sink: socket.socket) -> None:
    try:
        while data := source.recv(65_536):
            sink.sendall(data)
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        return
