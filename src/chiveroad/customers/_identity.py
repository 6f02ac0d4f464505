"""Decisions about a request's key: whose it is, and whether it still holds.

A key is revoked by a version without it.  A daemon that is cut off from the
store doesn't learn of that version, so what it knows of keys is valid for a
bounded time only: an entry serves requests with keys while no newer version
had been accepted at a time less than the bound ago.
"""

from __future__ import annotations

import dataclasses
import typing

from chiveroad import config
from chiveroad import errors
from chiveroad import settings

CONFIRMATION_MARGIN_S: typing.Final = 0.65
"""How much earlier than the bound a confirmation expires.  A watch that ends
without a change confirms the version as of the end of its wait, 0.6 s after
its request.  A store that ends waits early may have read the version at any
time since the request, and clocks are rounded to milliseconds."""

UNCONFIRMED_RETRY_MS: typing.Final = 500


def check_confirmed(
    terms: settings.Customers, confirmed_s: float | None, now_s: float
) -> None:
    """Check that keys can't have been revoked for longer than the bound.

    :param confirmed_s: as of when the version in force was known to be the
        newest, by ``clock.now_s``, or None.
    :raises errors.KeyUnconfirmed: when a key may have been revoked.
    """
    if not terms.fail_closed:
        return
    limit_s = terms.revoke_within_s - CONFIRMATION_MARGIN_S
    if confirmed_s is not None and now_s - confirmed_s <= limit_s:
        return
    raise errors.KeyUnconfirmed(
        "the configuration's keys haven't been confirmed for too long",
        UNCONFIRMED_RETRY_MS,
    )


def identify(current: config.Config, key_digest: str) -> config.Customer:
    """Return the customer that holds a key.

    :raises errors.KeyRefused: when there is no key, or no customer has it.
    """
    customer = current.customer_of(key_digest)
    if customer is not None:
        return customer
    reason = "the key is unknown" if key_digest else "a key is missing"
    raise errors.KeyRefused(reason)


def prioritize(kind: config.Kind, customer: config.Customer) -> config.Kind:
    """Return a kind with the weight that the customer has instead."""
    if not customer.weight or customer.weight == kind.weight:
        return kind
    return dataclasses.replace(kind, weight=customer.weight)
