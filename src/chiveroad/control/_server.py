"""The HTTP handler of a daemon's control address."""

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
from chiveroad import decoding
from chiveroad import errors
from chiveroad import membership
from chiveroad import serving

MAX_MESSAGE_BYTES: typing.Final = 64 * 1024 * 1024
MAX_HOLD_MS: typing.Final = 5_000
BATCH_DELAY_S: typing.Final = 0.05
CONFIRMED_STEP_S: typing.Final = 0.2
"""The least age difference between two confirmations sent to a child: a third
of the pause between two confirmations of the watcher, see ``_follower``."""

STATUS_PATH: typing.Final = "/control/v1/status"

_T = typing.TypeVar("_T")
_MAX_PACKS: typing.Final = 16
_JSON: typing.Final = (("Content-Type", "application/json"),)
_request_decoder = msgspec.json.Decoder(_messages.SyncRequest)
_confirmation_decoder = msgspec.json.Decoder(_messages.ConfirmationRequest)
_hello_decoder = msgspec.json.Decoder(_messages.Hello)
_offer_decoder = msgspec.json.Decoder(_messages.SnapshotOffer)


class ControlHandler(serving.Handler):
    """Answers the requests of children, operators and metric scrapers."""

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
            ("POST", _source.CONFIRMATION_PATH): self._confirmation,
            ("GET", STATUS_PATH): self._status,
        }

    def add_page(
        self,
        path: str,
        page: collections.abc.Callable[[serving.Request], None],
        method: str = "GET",
    ) -> None:
        """Serve a further page at a path."""
        self._pages[method, path] = page

    def handle(self, request: serving.Request) -> None:
        """Answer one request."""
        page = self._pages.get((request.method, request.path))
        if page is None:
            raise errors.NoRoute(f"no page {request.path}")
        page(request)

    def _sync(self, request: serving.Request) -> None:
        sync = self._read(request, _request_decoder)
        node = self._node
        child = node.record_contact(sync.member.instance)
        child.version = sync.version
        child.behind = sync.behind
        self._plane.learn_era(sync.as_of_era)
        node.inherit_usable(sync.former_suspects)
        node.merge_from_below([sync.member, *sync.members])
        if sync.unconfirmed:
            self._plane.confirm(clock.now_s())
        else:
            self._await_updates(sync, child)
        node.record_contact(sync.member.instance)
        child.confirmed_s = node.applied.confirmed_s
        held_ms = int((time.monotonic() - request.received_s) * 1000)
        answer = msgspec.json.encode(self._answer(sync, held_ms))
        request.answer(http.HTTPStatus.OK, _JSON, answer)

    def _await_updates(
        self, sync: _messages.SyncRequest, child: _node.Child
    ) -> None:
        hold_ms = min(sync.hold_ms, MAX_HOLD_MS)
        deadline_s = time.monotonic() + hold_ms / 1000
        node = self._node
        with node.changed:
            while not self._has_updates(sync) and not self.stopped:
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0 or self._has_confirmation(sync, child):
                    return
                node.changed.wait(remaining_s)
            if node.applied.current.number == sync.version:
                # Changes of members come in bursts: a short wait sends them
                # in one answer.
                node.changed.wait(BATCH_DELAY_S)

    def _has_updates(self, sync: _messages.SyncRequest) -> bool:
        node = self._node
        if node.applied.current.number != sync.version:
            return True
        return sync.source != self._source or node.view.epoch > sync.epoch

    def _has_confirmation(
        self, sync: _messages.SyncRequest, child: _node.Child
    ) -> bool:
        """Return whether a newer confirmation ends the child's long poll."""
        confirmed_s = self._node.applied.confirmed_s
        if not sync.confirmations or confirmed_s is None:
            return False
        if child.confirmed_s is None:
            return True
        return confirmed_s - child.confirmed_s >= CONFIRMED_STEP_S

    def _answer(
        self, sync: _messages.SyncRequest, held_ms: int
    ) -> _messages.SyncAnswer:
        node = self._node
        # Read before the version: the version in force is no older than the
        # confirmed one.
        ago_ms = self._confirmed_ago_ms()
        current = node.applied.current
        # Read before the view: the answer must include all records up to
        # this revision.
        as_of = node.as_of
        former_suspects: membership.RecordedSuspects = ()
        if sync.source == self._source:
            changes = node.view.since(sync.epoch)
        else:
            changes = node.view.since_revision(sync.synced_to)
            # Whoever knows this daemon's source has received an answer.
            former_suspects = node.former_suspects(sync.member.instance)
        delta = snapshot = b""
        if current.number > sync.version:
            delta, snapshot = self._config_update(sync.digest)
        return _messages.SyncAnswer(
            source=self._source,
            epoch=changes.epoch,
            version=current.number,
            digest=current.digest,
            relay=self._plane.relay,
            confirmed_ago_ms=ago_ms,
            members=self._members_for(sync.member, changes.members),
            ancestors=self._plane.ancestors(),
            delta=delta,
            snapshot=snapshot,
            wants_snapshot=sync.version > current.number,
            held_ms=held_ms,
            revision=current.revision.number,
            revision_era=current.revision.era,
            leads="leader" in self._plane.roles(),
            as_of=as_of.number,
            as_of_era=as_of.era,
            former_suspects=former_suspects,
            keys_needed=node.applied.unstated_keys_needed,
        )

    def _confirmed_ago_ms(self) -> float:
        confirmed_s = self._node.applied.confirmed_s
        if confirmed_s is None:
            return -1.0
        return (clock.now_s() - confirmed_s) * 1000

    def _confirmation(self, request: serving.Request) -> None:
        """Answer a daemon that neither the store nor a parent confirms."""
        asked = self._read(request, _confirmation_decoder)
        ago_ms = self._confirmed_ago_ms()
        current = self._node.applied.current
        delta = snapshot = b""
        if current.number > asked.version:
            delta, snapshot = self._config_update(asked.digest)
        answer = _messages.ConfirmationAnswer(
            version=current.number,
            digest=current.digest,
            confirmed_ago_ms=ago_ms,
            delta=delta,
            snapshot=snapshot,
            revision=current.revision.number,
            revision_era=current.revision.era,
            keys_needed=self._node.applied.unstated_keys_needed,
        )
        request.answer(http.HTTPStatus.OK, _JSON, msgspec.json.encode(answer))

    def _members_for(
        self,
        child: membership.Member,
        changed: tuple[membership.Member, ...],
    ) -> list[membership.Member]:
        """Return the changed records, less the child's own up-to-date one.

        If this daemon knows a newer record of the child than the child sent,
        such as one that declares it dead, the answer includes it.
        """
        members = [member for member in changed if member != child]
        known = self._node.view.get(child.instance)
        if known is not None and known.order() > child.order():
            members = [m for m in members if m.instance != child.instance]
            members.append(known)
        return members

    def _config_update(self, digest: str) -> tuple[bytes, bytes]:
        current = self._node.applied.current
        with self._packs_lock:
            packed = self._packs.get((digest, current.digest))
            base = self._node.applied.earlier(digest)
            if packed is None:
                digests = (digest, current.digest)
                packed = self._pack(base, current.config.items, digests)
                self._packs[digest, current.digest] = packed
                while len(self._packs) > _MAX_PACKS:
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
                offer.version,
                offer.digest,
                items,
                offer.version_revision,
                checked=True,
            )
        except errors.DigestMismatch as exc:
            raise errors.BadRequest(str(exc)) from exc
        if offer.keys_needed is not None:
            self._node.applied.learn_keys_needed(offer.keys_needed)
        request.answer(http.HTTPStatus.OK, _JSON, b"{}")

    def _hello(self, request: serving.Request) -> None:
        hello = self._read(request, _hello_decoder)
        self._node.merge_from_below([hello.member])
        answer = _messages.HelloAnswer(self._node.applied.current.number)
        request.answer(http.HTTPStatus.OK, _JSON, msgspec.json.encode(answer))

    def _status(self, request: serving.Request) -> None:
        node = self._node
        current = node.applied.current
        status = _messages.DaemonStatus(
            instance=node.member.instance,
            incarnation=node.member.incarnation,
            version=current.number,
            digest=current.digest,
            applied_at_ms=current.applied_at_ms,
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
            return decoding.decode(
                decoder, request.read_body(MAX_MESSAGE_BYTES)
            )
        except msgspec.DecodeError as exc:
            raise errors.BadRequest(f"unreadable message: {exc}") from exc
