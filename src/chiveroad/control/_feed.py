"""Watches the store for a region, on its leader."""

from __future__ import annotations

import collections.abc
import functools
import random
import time
import typing

from chiveroad.control import _accept
from chiveroad.control import _messages
from chiveroad.control import _node
from chiveroad.control import _source
from chiveroad.control import _threads
from chiveroad import errors
from chiveroad import logs
from chiveroad import store

WATCH_S: typing.Final = 30.0
RETRY_S: typing.Final = 0.4
IDLE_S: typing.Final = 0.1

_log = logs.Logger("feed")


class Feed:
    """Watches the accepted version and the domains' members while active.

    :param active: returns whether this daemon reads from the store itself.
    """

    def __init__(
        self,
        platform: store.Store,
        node: _node.Node,
        source: _source.StoreSource,
        active: collections.abc.Callable[[], bool],
    ) -> None:
        self._store = platform
        self._node = node
        self._source = source
        self._active = active
        self.stopped = False

    def start(self) -> None:
        """Start both watches in the background."""
        for work in (self._watch_configs, self._watch_domains):
            name = f"feed {work.__name__}"
            _threads.start(name, functools.partial(self._run, work))

    def _run(self, work: collections.abc.Callable[[], None]) -> None:
        while not self.stopped:
            if not self._active():
                time.sleep(IDLE_S)
                continue
            try:
                work()
            except errors.ChiveroadError as exc:
                _log.debug("Watch of the store failed, backing off: {}.", exc)
                time.sleep(RETRY_S * random.uniform(0.5, 1.5))

    def _may_continue(self) -> bool:
        return self._active() and not self.stopped

    def _watch_configs(self) -> None:
        version = self._source.read()
        if version == store.ABSENT:
            version = self._store.list(
                store.Kind.CONFIGS, _accept.CURRENT
            ).version
            self._source.read()
        while self._may_continue():
            watch = self._store.watch(store.Kind.CONFIGS, version, WATCH_S)
            for event in watch:
                version = max(version, event.version)
                if event.object is not None:
                    self._source.apply(_accept.decode(event.object))
                if not self._may_continue():
                    return

    def _watch_domains(self) -> None:
        listing = self._store.list(store.Kind.DOMAINS)
        for stored in listing.objects:
            self._merge_domain(stored)
        version = listing.version
        while self._may_continue():
            watch = self._store.watch(store.Kind.DOMAINS, version, WATCH_S)
            for event in watch:
                version = max(version, event.version)
                if event.object is not None:
                    self._merge_domain(event.object)
                if not self._may_continue():
                    return

    def _merge_domain(self, stored: store.StoredObject) -> None:
        self._node.merge(_messages.read_domain_members(stored))
