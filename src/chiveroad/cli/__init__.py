"""The operators' command line."""

from chiveroad.cli._app import main

__all__ = ["main"]
