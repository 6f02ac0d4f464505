"""The command line for operators."""

from chiveroad.cli._app import main

__all__ = ["main"]
