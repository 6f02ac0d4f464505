"""What a daemon answers on its control address."""

from __future__ import annotations

import collections.abc
import http
import threading
import time
import typing
import uuid

import msgspec

from chiveroad import clock
from chiveroad import config
from chiveroad.control import _control_plane
from chiveroad.control import _messages
from chiveroad.control import _node
from chiveroad.control import _source
from chiveroad import errors
from chiveroad import membership
from chiveroad import serving

MAX_MESSAGE_BYTES: typing.Final = 64 * 1024 * 1024
MAX_HOLD_MS: typing.Final = 5_000
GATHER_S: typing.Final = 0.05
CONFIRMED_STEP_S: typing.Final = 0.2
"""By how much a confirmation is newer than the last before it is sent: a
third of the pause between two of the watcher's, see ``_follower``."""

STATUS_PATH: typing.Final = "/control/v1/status"

_T = typing.TypeVar("_T")
_KEPT_PACKS: typing.Final = 16
_JSON: typing.Final = (("Content-Type", "application/json"),)
_request_decoder = msgspec.json.Decoder(_messages.SyncRequest)
_hello_decoder = msgspec.json.Decoder(_messages.Hello)
_offer_decoder = msgspec.json.Decoder(_messages.SnapshotOffer)


class ControlHandler(serving.Handler):
    """Answers children, operators, and whoever scrapes metrics."""

    def __init__(
        self, node: _node.Node, plane: _control_plane.ControlPlane
    ) -> None:
        self._node = node
        self._plane = plane
        self._source = uuid.uuid4().hex[:12]
        self._packs: collections.OrderedDict[tuple[str, str], bytes] = (
            collections.OrderedDict()
        )
        self._packs_lock = threading.Lock()
        self.stopped = False
        self._pages: dict[
            tuple[str, str], collections.abc.Callable[[serving.Request], None]
        ] = {
            ("POST", _source.SYNC_PATH): self._sync,
            ("POST", _source.SNAPSHOT_PATH): self._snapshot,
            ("POST", _source.HELLO_PATH): self._hello,
            ("GET", STATUS_PATH): self._status,
        }

    def add_page(
        self,
        path: str,
        page: collections.abc.Callable[[serving.Request], None],
    ) -> None:
        """Serve one more page."""
        self._pages["GET", path] = page

    def handle(self, request: serving.Request) -> None:
        """Answer one request."""
        page = self._pages.get((request.method, request.path))
        if page is None:
            raise errors.NoRoute(f"no page {request.path}")
        page(request)

    def _sync(self, request: serving.Request) -> None:
        asked = self._read(request, _request_decoder)
        node = self._node
        child = node.record_contact(asked.member.instance)
        child.version = asked.version
        child.behind = asked.behind
        node.merge_from_below([asked.member, *asked.members])
        if asked.unconfirmed:
            self._plane.confirm(clock.now_s())
        else:
            self._hold(asked, child)
        node.record_contact(asked.member.instance)
        child.confirmed_s = node.applied.confirmed_s
        held_ms = int((time.monotonic() - request.received_s) * 1000)
        answer = msgspec.json.encode(self._answer(asked, held_ms))
        request.answer(http.HTTPStatus.OK, _JSON, answer)

    def _hold(self, asked: _messages.SyncRequest, child: _node.Child) -> None:
        hold_ms = min(asked.hold_ms, MAX_HOLD_MS)
        end_s = time.monotonic() + hold_ms / 1000
        node = self._node
        with node.changed:
            while not self._is_news(asked) and not self.stopped:
                left_s = end_s - time.monotonic()
                if left_s <= 0 or self._is_confirmed(asked, child):
                    return
                node.changed.wait(left_s)
            if node.applied.current.number == asked.version:
                # News of members come in bursts; they are sent together.
                node.changed.wait(GATHER_S)

    def _is_news(self, asked: _messages.SyncRequest) -> bool:
        node = self._node
        if node.applied.current.number != asked.version:
            return True
        return asked.source != self._source or node.view.epoch > asked.epoch

    def _is_confirmed(
        self, asked: _messages.SyncRequest, child: _node.Child
    ) -> bool:
        """Tell whether a confirmation came that the child waits for."""
        confirmed_s = self._node.applied.confirmed_s
        if not asked.confirmations or confirmed_s is None:
            return False
        if child.confirmed_s is None:
            return True
        return confirmed_s - child.confirmed_s >= CONFIRMED_STEP_S

    def _answer(
        self, asked: _messages.SyncRequest, held_ms: int
    ) -> _messages.SyncAnswer:
        node = self._node
        confirmed_s = node.applied.confirmed_s
        ago_ms = -1.0
        if confirmed_s is not None:
            ago_ms = (clock.now_s() - confirmed_s) * 1000
        held = node.applied.current
        # Read before the view: what it says must be in what is sent.
        as_of = node.as_of
        if asked.source == self._source:
            changes = node.view.since(asked.epoch)
        else:
            changes = node.view.since_revision(asked.as_of)
        delta = snapshot = b""
        if held.number > asked.version:
            delta, snapshot = self._news_of_config(asked.digest)
        return _messages.SyncAnswer(
            source=self._source,
            epoch=changes.epoch,
            version=held.number,
            digest=held.digest,
            relay=self._plane.relay,
            confirmed_ago_ms=ago_ms,
            members=self._members_for(asked.member, changes.members),
            ancestors=self._plane.ancestors(),
            delta=delta,
            snapshot=snapshot,
            wants_snapshot=asked.version > held.number,
            held_ms=held_ms,
            revision=held.revision,
            leads="leader" in self._plane.roles(),
            as_of=as_of,
        )

    def _members_for(
        self,
        child: membership.Member,
        changed: tuple[membership.Member, ...],
    ) -> list[membership.Member]:
        """Return the news, and the child's own record where it is wrong."""
        members = [member for member in changed if member != child]
        known = self._node.view.get(child.instance)
        if known is not None and known.order() > child.order():
            members = [m for m in members if m.instance != child.instance]
            members.append(known)
        return members

    def _news_of_config(self, digest: str) -> tuple[bytes, bytes]:
        held = self._node.applied.current
        with self._packs_lock:
            packed = self._packs.get((digest, held.digest))
            base = self._node.applied.earlier(digest)
            if packed is None:
                digests = (digest, held.digest)
                packed = self._pack(base, held.config.items, digests)
                self._packs[digest, held.digest] = packed
                while len(self._packs) > _KEPT_PACKS:
                    self._packs.popitem(last=False)
        return (b"", packed) if base is None else (packed, b"")

    def _pack(
        self,
        base: config.Items | None,
        items: config.Items,
        digests: tuple[str, str],
    ) -> bytes:
        if base is None:
            return config.pack(items)
        return config.pack_delta(config.diff(base, items, digests))

    def _snapshot(self, request: serving.Request) -> None:
        offer = self._read(request, _offer_decoder)
        try:
            items = config.unpack(offer.snapshot, offer.digest)
            self._node.applied.offer(
                offer.version, offer.digest, items, checked=True
            )
        except errors.DigestMismatch as exc:
            raise errors.BadRequest(str(exc)) from exc
        request.answer(http.HTTPStatus.OK, _JSON, b"{}")

    def _hello(self, request: serving.Request) -> None:
        hello = self._read(request, _hello_decoder)
        self._node.merge_from_below([hello.member])
        answer = _messages.HelloAnswer(self._node.applied.current.number)
        request.answer(http.HTTPStatus.OK, _JSON, msgspec.json.encode(answer))

    def _status(self, request: serving.Request) -> None:
        node = self._node
        held = node.applied.current
        status = _messages.DaemonStatus(
            instance=node.member.instance,
            incarnation=node.member.incarnation,
            version=held.number,
            digest=held.digest,
            applied_at_ms=held.applied_at_ms,
            ready=node.applied.ready,
            state=node.member.state,
            roles=self._plane.roles(),
            parent=self._plane.parent,
            members=len(node.view.all()),
            behind=node.behind(),
            control_bytes=node.control_bytes,
        )
        request.answer(http.HTTPStatus.OK, _JSON, msgspec.json.encode(status))

    def _read(
        self, request: serving.Request, decoder: msgspec.json.Decoder[_T]
    ) -> _T:
        try:
            return decoder.decode(request.read_body(MAX_MESSAGE_BYTES))
        except msgspec.DecodeError as exc:
            raise errors.BadRequest(f"unreadable message: {exc}") from exc
