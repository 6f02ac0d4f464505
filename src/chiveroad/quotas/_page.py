"""The page about customers that a daemon serves on its control address."""

from __future__ import annotations

import http
import typing

import msgspec

from chiveroad import clock
from chiveroad import control
from chiveroad import customers
from chiveroad import errors
from chiveroad import metrics
from chiveroad.quotas import _quotas
from chiveroad import serving
from chiveroad import settings

CUSTOMERS_PATH: typing.Final = "/control/v1/customers"

_JSON: typing.Final = (("Content-Type", "application/json"),)


class CustomerUse(msgspec.Struct):
    """A customer's use of its limit, as its quota server knows it.

    ``used_per_s`` is the mean of the last window, ``left`` the tokens in the
    bucket, and ``entries`` how many entries have reported it.  With ``close``
    the entries need tokens.
    """

    name: str
    rate_per_s: float
    burst: float
    used_per_s: float
    left: float
    close: bool
    entries: int


class CustomersView(msgspec.Struct):
    """What one daemon knows of customers.

    ``confirms`` says whether it can confirm keys, and ``confirmed_ago_ms``
    when it last could, -1 for never.  ``served`` are the customers whose quota
    server it is.  ``refused`` counts its entry's refusals by customer and
    reason, ``key_refused`` those of an unknown or missing key, and
    ``key_unconfirmed`` those of a key that it couldn't confirm.  ``cut_off``
    names the daemons that don't report to this quota server.
    """

    instance: str
    confirms: bool
    confirmed_ago_ms: int
    served: list[CustomerUse]
    refused: dict[str, dict[str, int]]
    key_refused: int
    key_unconfirmed: int
    cut_off: list[str]


class CustomersPage:
    """Answers with what this daemon knows of customers, as JSON."""

    def __init__(
        self,
        options: settings.Settings,
        applied: control.Applied,
        quota: _quotas.Quotas,
        recorder: metrics.Recorder,
    ) -> None:
        self._options = options
        self._applied = applied
        self._quotas = quota
        self._recorder = recorder

    def handle(self, request: serving.Request) -> None:
        """Answer one request."""
        body = msgspec.json.encode(self.view())
        request.answer(http.HTTPStatus.OK, _JSON, body)

    def view(self) -> CustomersView:
        """Return what this daemon knows."""
        ago_ms = self._applied.unconfirmed_ms()
        counts = self._recorder.counts()
        served, cut_off = self._quotas.served()
        configured = self._applied.config.customers
        return CustomersView(
            instance=self._options.instance,
            confirms=self._confirms(),
            confirmed_ago_ms=-1 if ago_ms is None else ago_ms,
            served=[
                CustomerUse(
                    name,
                    configured[name].rate_per_s,
                    configured[name].burst,
                    round(used_per_s, 2),
                    round(left, 1),
                    close,
                    entries,
                )
                for name, used_per_s, left, close, entries in served
                if name in configured
            ],
            refused=self._quotas.refusals(),
            key_refused=_count(counts, errors.KeyRefused),
            key_unconfirmed=_count(counts, errors.KeyUnconfirmed),
            cut_off=cut_off,
        )

    def _confirms(self) -> bool:
        try:
            customers.check_confirmed(
                self._options.customers,
                self._applied.confirmed_s,
                clock.now_s(),
            )
        except errors.KeyUnconfirmed:
            return False
        return self._applied.ready


def _count(
    counts: dict[tuple[str, str], int], refusal: type[errors.Refusal]
) -> int:
    return counts.get(("chiveroad.entry.requests", str(refusal.code)), 0)
