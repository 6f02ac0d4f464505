"""Configuration distribution and request routing for a service mesh.

One program, ``chiveroad``, runs beside each target.  It keeps the accepted
configuration in force, tells the other daemons about its target, and
carries callers' requests.  The package is split by concern: ``config`` merges
files, ``store`` talks to the platform's object API, ``control`` accepts and
distributes versions, ``membership`` knows the targets, ``traffic`` carries
requests, and ``serving`` wraps the HTTP server.
"""

import typing

__version__: typing.Final = "0.1.0"

__all__ = [
    "Final",
]
