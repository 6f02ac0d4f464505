"""Reads the framing of HTTP messages: head lines and chunk sizes."""

from __future__ import annotations

import math
import re
import typing

MAX_FRAMING_BYTES: typing.Final = 64 * 1024
"""The size limit of a head with all interim heads before it, and of the lines
that frame a body, apart from the body itself.  The HTTP libraries allow this
much for each line, or have no limit."""

CHUNK_LINE_BYTES: typing.Final = 16
"""The framing of a chunk: the digits of its size, and two line ends."""

MAX_SMALL_CHUNKS: typing.Final = 1_024
MIN_MEAN_CHUNK_BYTES: typing.Final = 16
"""The mean size of a request's chunks beyond the first ``MAX_SMALL_CHUNKS``;
a chunk takes 2 us to be read, so that five bodies of 100,000 chunks of one
byte took a whole processor for a second."""

_CHUNK_SIZE: typing.Final = re.compile(
    rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n"
)


class Lines:
    """Reads the lines of one message, within a limit on their total size.

    :param source: the stream from which the lines are read.
    :param max_small_chunks: how many chunks there may be, whatever they hold.
    """

    def __init__(
        self, source: typing.Any, max_small_chunks: float = math.inf
    ) -> None:
        self._source = source
        self._max_small_chunks = max_small_chunks
        self._chunks = 0
        self._chunk_bytes = 0
        self.remaining_bytes = MAX_FRAMING_BYTES

    def read(self) -> bytes:
        """Return a line with its line end, or the rest of the stream.

        :raises ValueError: when the lines are over the limit in total.
        """
        line: bytes = self._source.readline(self.remaining_bytes + 1)
        self.remaining_bytes -= len(line)
        if self.remaining_bytes < 0:
            raise ValueError("the framing is too long")
        return line

    def read_chunk_size(self) -> int:
        """Read the size line of the next chunk.

        :raises ValueError: when the line isn't a chunk size.
        """
        match = _CHUNK_SIZE.fullmatch(self.read())
        if match is None:
            raise ValueError("malformed chunk size")
        size = int(match[1], 16)
        self._count_chunk(size)
        if size:
            self.remaining_bytes += size + CHUNK_LINE_BYTES
        return size

    def _count_chunk(self, size: int) -> None:
        self._chunks += 1
        self._chunk_bytes += size
        if self._chunks <= self._max_small_chunks:
            return
        if self._chunk_bytes < self._chunks * MIN_MEAN_CHUNK_BYTES:
            raise ValueError("too many small chunks")

    def end_chunk(self) -> None:
        """Read the line end that follows a chunk.

        :raises ValueError: when other bytes follow the chunk.
        """
        if self._source.read(2) != b"\r\n":
            raise ValueError("a chunk isn't as long as said")


class ChunkedBody:
    """Streams a chunked body.

    The library would keep each chunk in memory, whatever its size.
    ``closed`` is true after the last chunk; trailers stay unread.
    """

    def __init__(self, source: typing.Any) -> None:
        self._source = source
        self._lines = Lines(source, MAX_SMALL_CHUNKS)
        self._chunk_left_bytes = 0
        self.closed = False

    def read(self, size: int) -> bytes:
        """Return ``size`` bytes, or fewer at the end of the body.

        :raises ValueError: when the framing is malformed.
        """
        body = bytearray()
        while len(body) < size and self._begin_chunk():
            wanted = min(size - len(body), self._chunk_left_bytes)
            piece = self._source.read(wanted)
            if len(piece) < wanted:
                raise ValueError("the body ends within a chunk")
            body += piece
            self._chunk_left_bytes -= wanted
            if not self._chunk_left_bytes:
                self._lines.end_chunk()
        return bytes(body)

    def _begin_chunk(self) -> bool:
        if not self._chunk_left_bytes and not self.closed:
            self._chunk_left_bytes = self._lines.read_chunk_size()
            self.closed = not self._chunk_left_bytes
        return not self.closed
