"""Defines the commands: parses arguments, and maps errors to exit codes."""

from __future__ import annotations

import pathlib
import sys
import typing

import typer

import chiveroad
from chiveroad.cli import _check
from chiveroad.cli import _customers
from chiveroad.cli import _explain
from chiveroad.cli import _key_digest
from chiveroad.cli import _output
from chiveroad.cli import _push
from chiveroad.cli import _quarantine
from chiveroad.cli import _status
from chiveroad.cli import _trace
from chiveroad import daemon
from chiveroad import errors
from chiveroad import settings
from chiveroad import store
from chiveroad import traffic

app = typer.Typer(
    name="chiveroad",
    help="Configuration distribution and routing for a service mesh.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)

Folder = typing.Annotated[
    pathlib.Path, typer.Argument(help="A folder of TOML files.")
]
StoreAddress = typing.Annotated[
    str,
    typer.Option(
        "--store",
        envvar="CHIVEROAD_STORE",
        help="The platform's object API, HOST:PORT.",
    ),
]
DaemonAddress = typing.Annotated[
    str,
    typer.Option(
        "--daemon",
        envvar="CHIVEROAD_DAEMON",
        help="A daemon's control address, to ask how it sees upstreams.",
    ),
]
Output = typing.Annotated[
    _output.Format, typer.Option("--output", "-o", help="Form of output.")
]
TABLE = _output.Format.TABLE


@app.command("daemon")
def run_daemon(
    path: typing.Annotated[
        typing.Optional[str],
        typer.Argument(
            envvar="CHIVEROAD_CONFIG",
            help="The settings file, TOML.",
            metavar="[SETTINGS]",
        ),
    ] = None,
) -> None:
    """Run the daemon beside an upstream until it is asked to stop."""
    raise typer.Exit(daemon.run_file(settings.named_path(path)))


@app.command()
def check(folder: Folder, output: Output = TABLE) -> None:
    """Validate a folder offline."""
    _print_and_exit(_check.check(folder), output)


@app.command()
def push(
    folder: Folder,
    store_address: StoreAddress,
    yes: typing.Annotated[
        bool, typer.Option("--yes", "-y", help="Don't ask.")
    ] = False,
    output: Output = TABLE,
) -> None:
    """Make the stored folder equal to a local one."""

    def is_confirmed(plan: _output.Report) -> bool:
        if output is TABLE:
            _output.show(plan, output)
        return yes or typer.confirm("Go on?", err=True)

    platform = store.HttpStore(store_address)
    report = _push.push(platform, folder, is_confirmed, _output.progress)
    _print_and_exit(report, output)


@app.command()
def status(store_address: StoreAddress, output: Output = TABLE) -> None:
    """Show what is in force, the verdict on each file, and who lags."""
    mesh_status = _status.read(store.HttpStore(store_address))
    _print_and_exit(_status.report(mesh_status), output)


@app.command()
def explain(
    path: typing.Annotated[
        str, typer.Argument(help="A request's path, with its query.")
    ],
    store_address: StoreAddress = "",
    daemon_address: DaemonAddress = "",
    method: typing.Annotated[
        str, typer.Option("--method", "-m", help="A request's method.")
    ] = "GET",
    host: typing.Annotated[str, typer.Option(help="Its Host header.")] = "",
    key_file: typing.Annotated[
        typing.Optional[pathlib.Path],
        typer.Option(help="A file with the customer's key alone."),
    ] = None,
    ask_key: typing.Annotated[
        bool, typer.Option("--ask-key", help="Ask for the customer's key.")
    ] = False,
    body_bytes: typing.Annotated[
        int, typer.Option(min=0, help="The size of its body.")
    ] = 0,
    deadline_ms: typing.Annotated[
        int, typer.Option(min=0, help="The time that its caller allows.")
    ] = 0,
    output: Output = TABLE,
) -> None:
    """Show what a daemon would do with a request, and who set its route.

    Nothing is sent or counted. The key's digest alone leaves this command.
    Exit status: 0, or 5 if the request would be refused.
    """
    if not (store_address or daemon_address):
        raise errors.UsageError("neither --daemon nor --store is given")
    prompted = ""
    if ask_key:
        prompted = typer.prompt("Key", hide_input=True, err=True)
    question = traffic.Question(
        path,
        method,
        host,
        _explain.read_key(key_file, prompted),
        body_bytes,
        deadline_ms,
    )
    platform = store.HttpStore(store_address) if store_address else None
    explanation = _explain.explain(platform, daemon_address, question)
    _print_and_exit(_explain.report(explanation), output)


@app.command()
def quarantine(
    daemons: typing.Annotated[
        list[str],
        typer.Argument(help="Control addresses of daemons, HOST:PORT."),
    ],
    lift: typing.Annotated[
        str, typer.Option(help="A content to admit again at these daemons.")
    ] = "",
    output: Output = TABLE,
) -> None:
    """Show which requests are refused, as upstreams ended under them."""
    _print_and_exit(
        _quarantine.report(_quarantine.read(daemons, lift)), output
    )


@app.command()
def customers(
    daemons: typing.Annotated[
        list[str],
        typer.Argument(help="Control addresses of daemons, HOST:PORT."),
    ],
    output: Output = TABLE,
) -> None:
    """Show who uses how much of its limit, and who is refused and why."""
    _print_and_exit(_customers.report(_customers.read(daemons)), output)


@app.command()
def trace(
    request: typing.Annotated[str, typer.Argument(help="A request's id.")],
    logs: typing.Annotated[
        list[pathlib.Path],
        typer.Argument(help="Logs of daemons, JSON lines."),
    ],
    output: Output = TABLE,
) -> None:
    """Show what all daemons decided on one request, in order."""
    _print_and_exit(_trace.report(request, _trace.find(request, logs)), output)


@app.command(
    "key-digest",
    context_settings={
        "allow_extra_args": True,
        "ignore_unknown_options": True,
    },
)
def key_digest(context: typer.Context, output: Output = TABLE) -> None:
    """Print the digest of a key, read from a prompt or standard input."""
    if context.args:
        # The library's own message would repeat the argument.
        raise errors.UsageError("a key is never an argument; pipe it in")
    _print_and_exit(_key_digest.report(_key_digest.read_key()), output)


@app.command()
def version(output: Output = TABLE) -> None:
    """Show the version."""
    if output is TABLE:
        print(f"chiveroad {chiveroad.__version__}")
        return
    print(f'{{"version": "{chiveroad.__version__}"}}')


def _print_and_exit(
    report: _output.Report, output: _output.Format
) -> typing.NoReturn:
    _output.show(report, output)
    raise typer.Exit(report.exit_code)


def main() -> None:
    """Run the command line; print an error as one line with its code."""
    try:
        app()
    except errors.FileError as exc:
        location = f"{exc.file}:{exc.line}: " if exc.file else ""
        print(f"chiveroad: {location}{exc} ({exc.hint})", file=sys.stderr)
        sys.exit(exc.exit_code)
    except errors.ChiveroadError as exc:
        print(f"chiveroad: {exc} ({exc.hint})", file=sys.stderr)
        sys.exit(exc.exit_code)
