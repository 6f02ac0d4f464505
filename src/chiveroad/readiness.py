"""The HTTP page that reports a daemon's readiness."""

from __future__ import annotations

import collections.abc
import http

from chiveroad import serving

_JSON = (("Content-Type", "application/json"),)


class ReadyHandler(serving.Handler):
    """Answers 200 while the daemon accepts requests, otherwise 503.

    :param ready: returns whether the daemon accepts requests.
    """

    def __init__(self, ready: collections.abc.Callable[[], bool]) -> None:
        self._ready = ready

    def handle(self, request: serving.Request) -> None:
        """Answer one request, whatever its path is."""
        if self._ready():
            request.answer(http.HTTPStatus.OK, _JSON, b'{"ready":true}')
            return
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        request.answer(status, _JSON, b'{"ready":false}')
