"""``chiveroad customers``: shows customers' use of their limits."""

from __future__ import annotations

import collections
import collections.abc

import msgspec

from chiveroad.cli import _daemon_page
from chiveroad.cli import _output
from chiveroad import errors
from chiveroad import quotas


class DaemonCustomers(msgspec.Struct):
    """What one daemon knows of customers, or why it didn't answer."""

    daemon: str
    customers: quotas.CustomersView | None = None
    failure: str = ""


def read(addresses: collections.abc.Iterable[str]) -> list[DaemonCustomers]:
    """Return what daemons know of customers.

    :param addresses: the control addresses of the daemons.
    """
    found = []
    for address in addresses:
        try:
            view = _daemon_page.fetch(
                address, quotas.CUSTOMERS_PATH, quotas.CustomersView
            )
        except errors.PeerUnavailable as exc:
            found.append(DaemonCustomers(address, failure=str(exc)))
        else:
            found.append(DaemonCustomers(address, view))
    return found


def report(daemons: list[DaemonCustomers]) -> _output.Report:
    """Return the report on customers, those with the most refusals first.

    A customer appears twice where two daemons serve it, as after a change of
    its quota server.
    """
    views = [each.customers for each in daemons if each.customers]
    refused: dict[str, collections.Counter[str]] = {}
    for view in views:
        for name, reasons in view.refused.items():
            refused.setdefault(name, collections.Counter()).update(reasons)
    rows = []
    seen = set()
    for view in views:
        for use in view.served:
            seen.add(use.name)
            rows.append(_row(use, view.instance, refused.get(use.name)))
    for name in sorted(refused.keys() - seen):
        rows.append([name, "", "", "", "", _reasons(refused[name]), ""])
    rows.sort(key=lambda row: (-sum(refused.get(row[0], {}).values()), row[0]))
    return _output.Report(
        value=daemons,
        title="Customers",
        columns=(
            "customer",
            "limit",
            "used",
            "left",
            "state",
            "refused",
            "quota server",
        ),
        rows=rows,
        notes=list(_notes(daemons)),
        exit_code=1 if any(each.failure for each in daemons) else 0,
    )


def _row(
    use: quotas.CustomerUse,
    server: str,
    refused: collections.Counter[str] | None,
) -> list[str]:
    return [
        use.name,
        f"{use.rate_per_s:g}/s + {use.burst:g}",
        f"{use.used_per_s:g}/s at {use.entries} entries",
        f"{use.left:g}",
        "close to its limit" if use.close else "below its limit",
        _reasons(refused or collections.Counter()),
        server,
    ]


def _reasons(refused: collections.Counter[str]) -> str:
    return ", ".join(
        f"{count} {reason}" for reason, count in sorted(refused.items())
    )


def _notes(
    daemons: list[DaemonCustomers],
) -> collections.abc.Iterator[str]:
    """Yield what an operator must know of single daemons."""
    for each in daemons:
        view = each.customers
        if view is None:
            yield f"{each.daemon} doesn't answer: {each.failure}"
            continue
        if not view.confirms:
            yield f"{view.instance} can't confirm keys"
        if view.key_unconfirmed:
            yield (
                f"{view.instance} refused {view.key_unconfirmed} requests "
                "with a key that it couldn't confirm"
            )
        if view.key_refused:
            yield (
                f"{view.instance} refused {view.key_refused} requests with "
                "an unknown key or none"
            )
        for name in view.cut_off:
            yield f"{name} is cut off from the quota server {view.instance}"
