"""Generates the table of errors, and the capacity tables and plots.

``python -m standins.pages`` writes them to the pages in ``docs``.  A test
checks that the pages are up to date with the code and the record.
"""

from __future__ import annotations

import pathlib
import typing

from chiveroad import errors
from standins import capacity
from standins import mesh

DOCS: typing.Final = mesh.ROOT / "docs"
BEGIN: typing.Final = "<!-- made by: make capacity -->"
END: typing.Final = "<!-- end -->"


def error_rows() -> list[str]:
    """Return the rows of the table of errors."""
    rows = [
        "| code | name | what it means | what to do | ran | status |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for error in sorted(errors.tree(), key=lambda e: e.code):
        ran = status = ""
        if issubclass(error, errors.Refusal):
            ran, status = error.ran, str(error.status)
        meaning = (error.__doc__ or "").split("\n\n")[0]
        meaning = " ".join(meaning.split())
        rows.append(
            f"| E{error.code} | {error.__name__} | {meaning} | {error.hint} "
            f"| {ran} | {status} |"
        )
    return rows


def with_part(page: pathlib.Path, part: list[str]) -> str:
    """Return the text of a page with its generated part replaced."""
    text = page.read_text(encoding="utf-8")
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    return "\n".join([before + BEGIN, "", *part, "", END + after])


def main() -> None:
    """Write the pages and plots."""
    generated_pages = {
        DOCS / "ERRORS.md": error_rows(),
        DOCS / "CAPACITY.md": capacity.tables(),
    }
    for page, part in generated_pages.items():
        page.write_text(with_part(page, part), encoding="utf-8")
    for name, plot in capacity.plots().items():
        (DOCS / "capacity" / name).write_text(plot, encoding="utf-8")


if __name__ == "__main__":
    main()
