"""The program's entry point.

A daemon that is started with plain arguments doesn't load the command line
library, which takes a tenth of a daemon's memory, and loads OpenSSL only if
it pushes metrics over TLS.  Everything else goes through the command line
library.
"""

import os
import sys
import typing


def main() -> None:
    """Run the program with the process's arguments."""
    arguments = sys.argv[1:]
    if _is_plain_daemon(arguments):
        _run_daemon(*arguments[1:])
    from chiveroad import cli

    cli.main()


def _run_daemon(argument: str | None = None) -> typing.NoReturn:
    from chiveroad import openssl
    from chiveroad import settings

    path = settings.named_path(argument)
    if not settings.pushes_encrypted(path):
        openssl.block_imports()
    from chiveroad import daemon

    code = daemon.run_file(path)
    sys.stdout.flush()
    sys.stderr.flush()
    # Threads that still wait for a peer have no work left, so the exit
    # doesn't wait for them.
    os._exit(code)


def _is_plain_daemon(arguments: list[str]) -> bool:
    if arguments == ["daemon"]:
        return "CHIVEROAD_CONFIG" in os.environ
    if len(arguments) != 2 or arguments[0] != "daemon":
        return False
    return not arguments[1].startswith("-")


if __name__ == "__main__":
    main()
