"""Confirmations from any peer, for a daemon that the tree doesn't confirm.

A daemon follows only daemons that precede it in the tree.  If the store turns
away a daemon and all of its predecessors, while it answers others, the tree
doesn't confirm the version, and requests with keys would be refused.  So such
a daemon asks random peers.  Each peer that has learnt of a confirmation can
pass it on, so that the number of confirmed daemons doubles with each round,
however few the store answers.  A confirmation keeps its age on the way: peers
that ask each other never make it younger.
"""

from __future__ import annotations

import collections.abc
import random
import typing

import msgspec

from chiveroad import clock
from chiveroad.control import _backoff
from chiveroad.control import _messages
from chiveroad.control import _node
from chiveroad.control import _peer
from chiveroad.control import _source
from chiveroad import decoding
from chiveroad import errors
from chiveroad import logs
from chiveroad import membership

ASK_AFTER_SHARE: typing.Final = 0.3
"""The age, as a share of the time within which keys are revoked, at which a
confirmation is sought from peers.  In usual operation a confirmation is
replaced at half of this age."""

THREADS: typing.Final = 2
"""A peer that has vanished holds a thread up for a whole timeout."""

CONNECT_TIMEOUT_S: typing.Final = 0.3
ANSWER_TIMEOUT_S: typing.Final = 0.6
RETRY_S: typing.Final = 0.1
MAX_RETRY_S: typing.Final = 0.4
"""While the store is down, each daemon asks five peers a second, at about 300
bytes each."""

IDLE_S: typing.Final = 0.2
"""How often a confirmed daemon checks the age of its confirmation."""

OWN_REGION_SHARE: typing.Final = 0.75

_answer_decoder = msgspec.json.Decoder(_messages.ConfirmationAnswer)
_log = logs.Logger("control")


class PeerConfirmations:
    """Seeks confirmations from peers.

    :param revoke_within_s: the time within which keys are revoked.
    """

    def __init__(
        self,
        node: _node.Node,
        revoke_within_s: float,
        rng: random.Random | None = None,
    ) -> None:
        self._node = node
        self._ask_after_s = ASK_AFTER_SHARE * revoke_within_s
        self._rng = rng or random.Random()
        self._peers = _peer.Peers(THREADS, CONNECT_TIMEOUT_S)

    def is_due(self, now_s: float) -> bool:
        """Return whether to ask a peer.

        A daemon without a version asks as well: nobody may be left to send
        it one.
        """
        applied = self._node.applied
        if applied.current.number and not applied.demands_keys:
            return False
        confirmed_s = applied.confirmed_s
        return confirmed_s is None or now_s - confirmed_s > self._ask_after_s

    def tick(self, now_s: float) -> bool:
        """Ask a peer if that is due.

        :returns: whether no further request is due.
        """
        if not self.is_due(now_s):
            return True
        member = choose_peer(
            self._node.member, self._node.view.all(), self._rng
        )
        if member is None:
            return False
        try:
            self._ask(member)
        except errors.ChiveroadError as exc:
            _log.debug(
                "Peer {} did not confirm the version: {}.",
                member.instance,
                exc,
            )
        return not self.is_due(clock.now_s())

    def _ask(self, member: membership.Member) -> None:
        applied = self._node.applied
        current = applied.current
        request = msgspec.json.encode(
            _messages.ConfirmationRequest(current.number, current.digest)
        )
        sent_s = clock.now_s()
        data = self._peers.post(
            member.control,
            _source.CONFIRMATION_PATH,
            request,
            ANSWER_TIMEOUT_S,
        )
        self._node.control_bytes += len(request) + len(data)
        try:
            answer = decoding.decode(_answer_decoder, data)
        except msgspec.DecodeError as exc:
            raise errors.BadMessage(f"{member.control}: {exc}") from exc
        _source.adopt(applied, answer, sent_s, current.config.items)


def new_backoff() -> _backoff.Backoff:
    """Return the pauses between two requests of a thread."""
    return _backoff.Backoff(RETRY_S, MAX_RETRY_S)


def choose_peer(
    own: membership.Member,
    members: collections.abc.Iterable[membership.Member],
    rng: random.Random,
) -> membership.Member | None:
    """Return a random live peer, mostly of the own region, or None."""
    peers = [
        member
        for member in members
        if member.alive and member.instance != own.instance
    ]
    near = [member for member in peers if member.region == own.region]
    if near and rng.random() < OWN_REGION_SHARE:
        return rng.choice(near)
    return rng.choice(peers) if peers else None
