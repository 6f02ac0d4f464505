"""The body of a request: buffered if small, otherwise read when it is sent.

A request is admitted or refused by its head, before a larger body is read, so
that a refused body crosses no link.  What has been read is kept up to a limit,
so that the request can still go to another target.
"""

from __future__ import annotations

import collections.abc
import hashlib
import typing

from chiveroad import errors
from chiveroad import serving

EAGER_BODY_BYTES: typing.Final = 16 * 1024
"""A body up to this size is read with the head: a round trip for the decision
costs as much as sending it, see ``serving.Uplink``."""

MAX_BUFFERED_BODY_BYTES: typing.Final = 64 * 1024
"""What one request's body may take in memory, but for the last part read."""


class Body:
    """A request's body.

    :param limit: the maximum size in bytes; 0 for no limit.

    ``buffered`` is the whole body, or None if it hasn't been read or isn't
    kept.  ``length`` is the length of the body in bytes, or None while its
    end isn't known.

    :raises errors.BadRequest: when the body's framing can't be read.
    :raises errors.BodyTimeout: when the caller sends the body too slowly.
    """

    def __init__(self, request: serving.Request, limit: int = 0) -> None:
        self._request = request
        self._chunks = _limited(request.body(), limit)
        self._kept: list[bytes] = []
        self._read_bytes = 0
        self._dropped = False
        self._broken = False
        self._start_digest = b""
        self.length = request.content_length
        self.buffered: bytes | None = None
        self.on_complete: collections.abc.Callable[[], None] = lambda: None
        """Called when the end of the body has been read."""

        small = self.length is None or self.length <= EAGER_BODY_BYTES
        if small and not request.awaits_continue:
            self._buffer(EAGER_BODY_BYTES)

    @property
    def replayable(self) -> bool:
        """Tell whether the body can be sent, again or for the first time."""
        if self.buffered is not None:
            return True
        return not (self._dropped or self._broken)

    @property
    def loadable(self) -> bool:
        """Tell whether a guard buffers the body before its target gets any.

        A body without a stated length may turn out to be larger.
        """
        if self.length is None:
            return self._read_bytes < MAX_BUFFERED_BODY_BYTES
        return self.length <= MAX_BUFFERED_BODY_BYTES

    @property
    def identity(self) -> bytes:
        """Return bytes that differ between most different bodies.

        A body that is streamed is told by its declared length, or else by
        its start: the rest isn't known before it is sent.
        """
        if self.buffered is not None:
            return self.buffered
        if self._start_digest:
            return self._start_digest
        return f"{self.length} bytes".encode()

    def load(self) -> None:
        """Buffer the body, unless it is too large."""
        if self.buffered is None and self.replayable and self.loadable:
            self._buffer(MAX_BUFFERED_BODY_BYTES)

    def stream(
        self, answer: serving.Interrupt | None = None
    ) -> collections.abc.Generator[bytes, None, None]:
        """Yield the body as it arrives.

        :param answer: ends the wait for the next part.
        :raises serving.BodyTruncated: when the body ends early.
        :raises serving.BodyInterrupted: when ``answer`` has ended a wait.
        """
        if not self.replayable:
            raise serving.BodyTruncated("a part of the body isn't kept")
        if self.buffered is not None:
            yield self.buffered
            return
        self._request.interrupt = answer
        try:
            yield from tuple(self._kept)
            while chunk := self._next():
                yield chunk
                if self._read_bytes > MAX_BUFFERED_BODY_BYTES:
                    self._dropped = True
                    self._kept.clear()
        finally:
            self._request.interrupt = None

    def _buffer(self, limit_bytes: int) -> None:
        """Read the body to its end, or to a limit if its length isn't known.

        :raises errors.Refusal: when the body ends early.
        """
        try:
            while (
                self.length is not None or self._read_bytes < limit_bytes
            ) and self._next():
                """The part is kept."""
        except serving.BodyTruncated as exc:
            raise refusal_of(exc) from exc
        if self.buffered is None and not self._start_digest:
            start = b"".join(self._kept)[:EAGER_BODY_BYTES]
            self._start_digest = hashlib.blake2b(start).digest()

    def _next(self) -> bytes:
        """Return the next part, or no bytes at the end."""
        if self._broken:
            raise serving.BodyTruncated("the body has ended early")
        try:
            chunk = next(self._chunks, b"")
        except BaseException:
            # What was read of the part is lost.
            self._broken = True
            raise
        self._read_bytes += len(chunk)
        if chunk and not self._dropped:
            self._kept.append(chunk)
        elif not chunk:
            self.length = self._read_bytes
            self.on_complete()
            if not self._dropped:
                self.buffered = b"".join(self._kept)
                self._kept.clear()
        return chunk


def _limited(
    chunks: collections.abc.Iterator[bytes], limit: int
) -> collections.abc.Iterator[bytes]:
    """Yield chunks up to a limit.

    :raises serving.BodyTruncated: when the chunks are over the limit.
    """
    total = 0
    for chunk in chunks:
        total += len(chunk)
        if limit and total > limit:
            raise serving.BodyTruncated(f"over {limit} bytes")
        yield chunk


def refusal_of(truncation: serving.BodyTruncated) -> errors.Refusal:
    """Return the refusal of a request whose body ended before it was sent."""
    if isinstance(truncation.__cause__, TimeoutError):
        return errors.BodyTimeout("the body came too slowly")
    return errors.BadRequest(f"the body can't be read: {truncation}")
