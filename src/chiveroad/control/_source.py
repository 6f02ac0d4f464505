"""Sources of a daemon's updates: the store, or a parent in the tree."""

from __future__ import annotations

import abc
import threading
import typing

import msgspec

from chiveroad import clock
from chiveroad import config
from chiveroad.control import _accept
from chiveroad.control import _applied
from chiveroad.control import _messages
from chiveroad.control import _node
from chiveroad.control import _peer
from chiveroad import decoding
from chiveroad import errors
from chiveroad import logs
from chiveroad import membership
from chiveroad import store

HOLD_MS: typing.Final = 1_500
CONNECT_TIMEOUT_S: typing.Final = 0.5
SYNC_GRACE_S: typing.Final = 2.0

SYNC_PATH: typing.Final = "/control/v1/sync"
SNAPSHOT_PATH: typing.Final = "/control/v1/snapshot"
HELLO_PATH: typing.Final = "/control/v1/hello"
CONFIRMATION_PATH: typing.Final = "/control/v1/confirmation"

_answer_decoder = msgspec.json.Decoder(_messages.SyncAnswer)
_log = logs.Logger("control")


class Source(abc.ABC):
    """A source that can confirm which accepted version is the newest."""

    @abc.abstractmethod
    def confirm(self, at_s: float) -> None:
        """Try to confirm that no newer version was accepted at a time.

        Simultaneous callers share one attempt.  A failure raises nothing, and
        the version stays unconfirmed.
        """


class StoreSource(Source):
    """The store itself, read by the leader of a region."""

    def __init__(self, platform: store.Store, node: _node.Node) -> None:
        self._store = platform
        self._node = node
        self._lock = threading.Lock()

    def confirm(self, at_s: float) -> None:
        """Read the accepted version, unless another caller just did."""
        with self._lock:
            confirmed_s = self._node.applied.confirmed_s
            if confirmed_s is not None and confirmed_s >= at_s:
                return
            try:
                self.read()
            except errors.ChiveroadError as exc:
                _log.debug("The store did not confirm the version: {}.", exc)

    def read(self) -> store.Revision:
        """Read and apply the accepted version.

        :returns: the store's version of what was read.
        """
        sent_s = clock.now_s()
        current = _accept.read_current(self._store)
        self.apply(current.accepted)
        if self._is_in_force(current.accepted):
            self._node.applied.confirm(sent_s)
        return current.store_version

    def _is_in_force(self, accepted: _accept.Accepted) -> bool:
        """Return whether an answer of the store confirms a version.

        While keys are revoked by versions, neither an older version nor
        another one of the same number confirms the one in force.
        """
        current = self._node.applied.current
        if not self._node.applied.demands_keys:
            return True
        stated = (accepted.version, accepted.digest)
        return stated == (current.number, current.digest)

    def apply(self, accepted: _accept.Accepted) -> None:
        """Put an accepted version in force, by its delta if possible.

        The delta leads from the preceding version to the accepted one.
        """
        current = self._node.applied.current
        if accepted.version <= current.number:
            return
        items = self._from_delta(
            accepted, current.number, current.config.items
        )
        if items is None:
            items = _accept.read_items(self._store, accepted)
        self._node.applied.offer(accepted.version, accepted.digest, items)

    def _from_delta(
        self,
        accepted: _accept.Accepted,
        current_number: int,
        items: config.Items,
    ) -> config.Items | None:
        if accepted.version != current_number + 1 or not accepted.delta:
            return None
        try:
            return config.patch(items, config.unpack_delta(accepted.delta))
        except errors.DigestMismatch as exc:
            _log.warning(
                "Delta to version {} dropped, reading the snapshot: {}.",
                accepted.version,
                exc,
            )
            return None


class ParentSource(Source):
    """A parent in the tree, called over HTTP.

    :param connect_timeout_s: how long opening a connection may take.
    :param grace_s: how long an answer may take beyond the wait of its long
        poll.
    :param confirmations: whether a newer confirmation alone ends the wait of
        a long poll.
    """

    def __init__(
        self,
        node: _node.Node,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        grace_s: float = SYNC_GRACE_S,
        confirmations: bool = False,
    ) -> None:
        self._node = node
        self._grace_s = grace_s
        self._confirmations = confirmations
        self._peers = _peer.Peers(4, connect_timeout_s)
        self._lock = threading.Lock()
        self._source = ""
        self._epoch = 0
        self._last_address = ""
        self._records_sent = ("", store.ABSENT)
        self.address = ""
        self.answer: _messages.SyncAnswer | None = None

    def confirm(self, at_s: float) -> None:
        """Ask the parent for a confirmation."""
        with self._lock:
            confirmed_s = self._node.applied.confirmed_s
            if not self.address or (
                confirmed_s is not None and confirmed_s >= at_s
            ):
                return
            try:
                self.sync(self.address, 0, unconfirmed=True)
            except errors.ChiveroadError as exc:
                _log.debug(
                    "Parent {} did not confirm the version: {}.",
                    self.address,
                    exc,
                )

    def sync(
        self,
        address: str,
        hold_ms: int,
        unconfirmed: bool,
        region: bool = False,
    ) -> _messages.SyncAnswer:
        """Send one sync request to a parent, and process the answer.

        :param hold_ms: the wait of the long poll.
        :param region: whether a new parent gets the members of the whole
            region, as it is an ancestor of several failure domains, not only
            of this daemon's.
        :raises errors.PeerUnavailable: when the parent doesn't answer.
        :raises errors.BadMessage: when the answer can't be read.
        """
        node = self._node
        former_suspects: membership.RecordedSuspects = ()
        if address != self._last_address:
            former_suspects = node.former_suspects_at(address)
            if node.as_of == store.ABSENT:
                node.requeue_members(region)
        pending_updates = node.pending_updates()
        current = node.applied.current
        request = _messages.SyncRequest(
            member=node.member,
            version=current.number,
            digest=current.digest,
            source=self._source,
            epoch=self._epoch,
            hold_ms=hold_ms,
            unconfirmed=unconfirmed,
            members=pending_updates,
            behind=node.behind(),
            confirmations=self._confirmations,
            as_of=node.as_of.number,
            as_of_era=node.as_of.era,
            former_suspects=former_suspects,
        )
        sent_s = clock.now_s()
        answer = self._post(address, request, hold_ms)
        node.mark_sent(pending_updates)
        # Another source at the same address is a new incarnation.
        restarted = (
            address == self._last_address and answer.source != self._source
        )
        self._last_address = "" if restarted else address
        self._process_answer(answer, sent_s, current.config.items)
        self._queue_missing_records(answer, region)
        if answer.wants_snapshot:
            self._send_snapshot(address)
        return answer

    def _queue_missing_records(
        self, answer: _messages.SyncAnswer, region: bool
    ) -> None:
        """Queue the records that the parent hasn't received from the store.

        A parent that started while the store was down has none.
        """
        as_of = self._node.as_of
        source, sent_as_of = self._records_sent
        parent_as_of = answer.synced_to
        if source == answer.source:
            parent_as_of = max(parent_as_of, sent_as_of)
        if parent_as_of < as_of:
            self._node.requeue_members(region, after=parent_as_of)
        self._records_sent = (answer.source, max(parent_as_of, as_of))

    def _process_answer(
        self,
        answer: _messages.SyncAnswer,
        sent_s: float,
        base_items: config.Items,
    ) -> None:
        """Merge the members of an answer, and put its version in force.

        :param base_items: the items of the version that was named in the
            request; another answer may have brought a newer one since.
        """
        node = self._node
        node.inherit_usable(answer.former_suspects)
        node.merge(answer.members)
        # The parent leaves out only records up to the revision that this
        # daemon has named, so the view is complete up to the answer's as_of.
        node.advance_as_of(answer.synced_to)
        self._source = answer.source
        self._epoch = answer.epoch
        self.answer = answer
        adopt(node.applied, answer, sent_s, base_items)

    def _send_snapshot(self, address: str) -> None:
        body = _peer.snapshot_offer(self._node)
        self._call(address, SNAPSHOT_PATH, body, SYNC_GRACE_S)

    def _post(
        self, address: str, request: _messages.SyncRequest, hold_ms: int
    ) -> _messages.SyncAnswer:
        body = msgspec.json.encode(request)
        timeout_s = hold_ms / 1000 + self._grace_s
        data = self._call(address, SYNC_PATH, body, timeout_s)
        try:
            return decoding.decode(_answer_decoder, data)
        except msgspec.DecodeError as exc:
            raise errors.BadMessage(f"{address}: {exc}") from exc

    def _call(
        self, address: str, path: str, body: bytes, timeout_s: float
    ) -> bytes:
        answer = self._peers.post(address, path, body, timeout_s)
        self._node.control_bytes += len(body) + len(answer)
        return answer


def adopt(
    applied: _applied.Applied,
    answer: _messages.SyncAnswer | _messages.ConfirmationAnswer,
    sent_s: float,
    base_items: config.Items,
) -> None:
    """Put another daemon's version in force, and take its confirmation over.

    :param sent_s: when the request was sent, by ``clock``.
    :param base_items: the items of the version that the request named.
    """
    items = _new_items(applied, answer, base_items)
    if items is not None:
        applied.offer(
            answer.version,
            answer.digest,
            items,
            answer.version_revision,
            checked=True,
        )
    if answer.keys_needed is not None:
        applied.learn_keys_needed(answer.keys_needed)
    if answer.confirmed_ago_ms >= 0 and _confirms(applied, answer):
        # The other daemon states the age of its confirmation as of its
        # answer, which it sent after the wait of the long poll.
        age_ms = answer.confirmed_ago_ms - answer.held_ms
        applied.confirm(sent_s - age_ms / 1000)


def _confirms(
    applied: _applied.Applied,
    answer: _messages.SyncAnswer | _messages.ConfirmationAnswer,
) -> bool:
    """Return whether a confirmation applies to the version in force.

    One of an earlier version does: a newer one than that was accepted later.
    While keys are revoked by versions, one of another version with the same
    number doesn't.
    """
    current = applied.current
    if current.number != answer.version or not applied.demands_keys:
        return current.number >= answer.version
    return current.digest == answer.digest


def _new_items(
    applied: _applied.Applied,
    answer: _messages.SyncAnswer | _messages.ConfirmationAnswer,
    base_items: config.Items,
) -> config.Items | None:
    if answer.version <= applied.current.number:
        return None
    if answer.snapshot:
        return config.unpack(answer.snapshot, answer.digest)
    if not answer.delta:
        return None
    try:
        delta = config.unpack_delta(answer.delta)
        if delta.digest != answer.digest:
            raise errors.DigestMismatch(
                f"the delta leads to {delta.digest}, expected "
                f"{answer.digest}"
            )
        return config.patch(base_items, delta)
    except errors.DigestMismatch as exc:
        # The next request names another digest, and so gets a snapshot.
        _log.warning("Delta to version {} dropped: {}.", answer.version, exc)
        return None
