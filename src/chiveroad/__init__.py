"""Configuration distribution and request routing for a service mesh.

One daemon, ``chiveroad``, runs beside each target.  It applies the accepted
configuration, reports its target's state to the other daemons, and routes
callers' requests.  The package is split by concern: ``config`` merges files,
``store`` is the client of the platform's object API, ``control`` accepts and
distributes configuration versions, ``membership`` tracks the targets,
``traffic`` routes requests, and ``serving`` wraps the HTTP server.
"""

import typing

__version__: typing.Final = "0.1.0"

__all__ = [
    "Final",
]
