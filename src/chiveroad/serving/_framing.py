"""The lines of a message that aren't its body: heads and chunk sizes."""

from __future__ import annotations

import re
import typing

MAX_FRAMING_BYTES: typing.Final = 64 * 1024
"""A head may be as long, with all interim heads before it, and so may the
lines that frame a body be beyond its own size.  The libraries allow as much
for each line, or put no limit on it."""

CHUNK_LINE_BYTES: typing.Final = 16
"""What framing a chunk takes: the digits of its size, and two line ends."""

_CHUNK_SIZE: typing.Final = re.compile(
    rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\n]*)?\r?\n"
)


class Lines:
    """The lines of one message, up to a size in all.

    :param source: what they are read from.
    """

    def __init__(self, source: typing.Any) -> None:
        self._source = source
        self.left_bytes = MAX_FRAMING_BYTES

    def read(self) -> bytes:
        """Return a line with its end, or what there is before the end.

        :raises ValueError: when they are too long.
        """
        line: bytes = self._source.readline(self.left_bytes + 1)
        self.left_bytes -= len(line)
        if self.left_bytes < 0:
            raise ValueError("the framing is too long")
        return line

    def read_chunk_size(self) -> int:
        """Return the size of the chunk that begins here.

        :raises ValueError: when there is none.
        """
        found = _CHUNK_SIZE.fullmatch(self.read())
        if found is None:
            raise ValueError("malformed chunk size")
        size = int(found[1], 16)
        if size:
            self.left_bytes += size + CHUNK_LINE_BYTES
        return size

    def end_chunk(self) -> None:
        """Read the line end that follows a chunk.

        :raises ValueError: when there is something else.
        """
        if self._source.read(2) != b"\r\n":
            raise ValueError("a chunk isn't as long as said")


class ChunkedBody:
    """A body in chunks, which is never held whole.

    The library holds each chunk, whatever its size.  ``closed`` says that
    the last one was read; trailers are left unread.
    """

    def __init__(self, source: typing.Any) -> None:
        self._source = source
        self._lines = Lines(source)
        self._left_bytes = 0
        self.closed = False

    def read(self, size: int) -> bytes:
        """Return so many bytes, or fewer at the end.

        :raises ValueError: when the framing can't be read.
        """
        found = bytearray()
        while len(found) < size and self._begin_chunk():
            wanted = min(size - len(found), self._left_bytes)
            part = self._source.read(wanted)
            if len(part) < wanted:
                raise ValueError("the body ends within a chunk")
            found += part
            self._left_bytes -= wanted
            if not self._left_bytes:
                self._lines.end_chunk()
        return bytes(found)

    def _begin_chunk(self) -> bool:
        if not self._left_bytes and not self.closed:
            self._left_bytes = self._lines.read_chunk_size()
            self.closed = not self._left_bytes
        return not self.closed
