"""Command line interface: the `sycamorefall` command."""

__all__ = ["main"]

import argparse
import contextlib
import os
import sys
import time

import sycamorefall
from sycamorefall import checking, errors, settings
from sycamorefall.observation import (
    report,
    request_explanation,
    snapshots,
    status_client,
    tables,
)
from sycamorefall.router import daemon as router_daemon
from sycamorefall.sidecar import daemon as sidecar_daemon

EXIT_REFUSED = 2
"""Exit status after a `SycamorefallError`, such as invalid input."""

_DESCRIPTION = """\
Router fleet with fair sharing of model engines and plain services by teams.

One `router` runs on each entry VM, one `sidecar` next to each upstream. Both
read their settings from an INI file and the operators' configuration text
from the platform. Operators control the fleet by editing that text and by
marking VMs as joining or leaving. `check` validates files, `status`, `report`
and `explain` show the state and history of running processes."""

_EPILOG = """\
examples:
  sycamorefall check fleet.ini            validate a configuration text
  sycamorefall check router.ini           validate a settings file
  sycamorefall router router.ini          run a router
  sycamorefall status 127.0.0.1:7400      show the status of a process

`sycamorefall COMMAND --help` describes each command.
exit status: 0 success, 2 error (one line on standard error gives the reason)"""

_ROUTER_HELP = """\
Runs a router in the foreground until SIGTERM or SIGINT. The router then
accepts no new requests (/ready returns 503), completes those it has accepted,
and exits with status 0.

The settings file requires the sections [vm], [listen] and [platform]; the
sections [peers], [limits], [security] and [log] are optional. For an example,
see examples/router.ini."""

_SIDECAR_HELP = """\
Runs a sidecar in the foreground until SIGTERM or SIGINT. The sidecar then
claims no new requests, completes those that run at its upstream, and exits
with status 0.

The settings file requires the sections [vm], [listen], [platform] and
[upstream]; the sections [peers], [limits], [security] and [log] are optional.
For an example, see examples/sidecar.ini."""

_CHECK_HELP = """\
Validates a configuration text or a settings file, which are told apart by
their sections. If the file is not valid, the command prints the line and the
reason. A configuration text that this command accepts is accepted by every
process of the same version."""

_STATUS_HELP = """\
Requests the status of running processes and prints it as tables: facts about
the process, teams with waiting requests, times, and the state of its peers.

ADDRESS is the process's [listen] operators address; if it has none, its data
address, which serves the status to clients on the same VM only."""

_STATUS_EPILOG = """\
examples:
  sycamorefall status 127.0.0.1:7400
  sycamorefall status --json 10.0.0.4:7402 | python -m json.tool
  sycamorefall status --json --repeat 60 --interval 1 \\
      10.0.0.4:7402 10.0.1.4:7502 >> snapshots.jsonl"""

_REPORT_HELP = """\
Plots statuses that were saved with `status --json --repeat`: how long requests
waited and ran, by team, and the fairness gap between teams over time. The gap
is computed from statuses of sidecars, the times from those of routers if there
are any.
Requires matplotlib: pip install 'sycamorefall[report]'."""


_EXPLAIN_HELP = """\
Collects the records of one request from the logs of several processes, in
order of time, and the process-wide records from shortly before the request
until its end (platform unreachable, changed upstreams). Then prints why the
request ended as it did, and which records are missing.

Records of the request are marked with an asterisk. Times are those of each
process's own clock. Text before a record, such as the prefix of a log
collector, is ignored."""

_EXPLAIN_EPILOG = """\
examples:
  sycamorefall explain 9c41d07be2a35f68 router-*.log"""


def main(arguments: list[str] | None = None) -> int:
    """Parses the command line and runs the selected command.

    Args:
        arguments: Command-line arguments without the program name; those of
            the process if None.

    Returns:
        The exit status.
    """
    options = _create_parser().parse_args(arguments)
    try:
        options.run(options)
    except errors.SycamorefallError as error:
        print(f"sycamorefall: {error}", file=sys.stderr)
        return EXIT_REFUSED
    return 0


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sycamorefall",
        description=_DESCRIPTION,
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--version",
        action="version",
        version=f"sycamorefall {sycamorefall.__version__}",
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    router = _add_command(commands, "router", "run a router", _ROUTER_HELP)
    router.add_argument("settings", help="settings file of the router")
    router.set_defaults(run=_run_router)
    sidecar = _add_command(commands, "sidecar", "run a sidecar", _SIDECAR_HELP)
    sidecar.add_argument("settings", help="settings file of the sidecar")
    sidecar.set_defaults(run=_run_sidecar)
    check = _add_command(
        commands,
        "check",
        "validate a configuration text or a settings file",
        _CHECK_HELP,
    )
    check.add_argument("file", help="INI file to validate")
    check.set_defaults(run=_check_file)
    _add_status(commands)
    _add_report(commands)
    _add_explain(commands)
    return parser


def _add_command(
    commands, name: str, summary: str, description: str, epilog: str = ""
) -> argparse.ArgumentParser:
    return commands.add_parser(
        name,
        help=summary,
        description=description,
        epilog=epilog,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )


def _add_status(commands) -> None:
    status = _add_command(
        commands,
        "status",
        "show the status of running processes",
        _STATUS_HELP,
        _STATUS_EPILOG,
    )
    status.add_argument(
        "addresses", metavar="ADDRESS", nargs="+", help="IP:port"
    )
    status.add_argument(
        "--json",
        action="store_true",
        help="print one JSON object per line, with full histograms, instead of "
        "tables",
    )
    status.add_argument(
        "--repeat",
        type=_parse_count,
        default=1,
        metavar="N",
        help="repeat the requests N times; if N > 1, an unreachable process is "
        "reported on standard error and requested again the next time",
    )
    status.add_argument(
        "--interval",
        type=_parse_seconds,
        default=1.0,
        metavar="S",
        help="seconds between two repetitions (default: 1)",
    )
    status.set_defaults(run=_show_status)


def _add_report(commands) -> None:
    command = _add_command(
        commands,
        "report",
        "plot time histograms and the fairness gap",
        _REPORT_HELP,
    )
    command.add_argument(
        "files", metavar="FILE", nargs="+", help="saved statuses"
    )
    command.add_argument(
        "-o",
        "--output",
        required=True,
        help="file to write: a page (.html) or an image (.png)",
    )
    command.set_defaults(run=_write_report)


def _add_explain(commands) -> None:
    command = _add_command(
        commands,
        "explain",
        "show from logs how a request was handled",
        _EXPLAIN_HELP,
        _EXPLAIN_EPILOG,
    )
    command.add_argument(
        "request",
        metavar="REQUEST-ID",
        help="id of the request, or its fingerprint",
    )
    command.add_argument(
        "logs", metavar="LOG", nargs="+", help="log file of a process"
    )
    command.set_defaults(run=_explain_request)


def _parse_count(text: str) -> int:
    if not text.isdecimal() or int(text) < 1:
        raise argparse.ArgumentTypeError("expected an integer above 0")
    return int(text)


def _parse_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0.0 <= seconds < float("inf"):
        raise argparse.ArgumentTypeError(
            "expected a finite number of seconds, at least 0"
        )
    return seconds


def _run_router(options: argparse.Namespace) -> None:
    router_daemon.run_router(
        settings.read_settings(options.settings, settings.RouterSettings),
        lambda: checking.log_settings_check(
            options.settings, settings.RouterSettings
        ),
    )
    _exit_process()


def _run_sidecar(options: argparse.Namespace) -> None:
    sidecar_daemon.run_sidecar(
        settings.read_settings(options.settings, settings.SidecarSettings),
        lambda: checking.log_settings_check(
            options.settings, settings.SidecarSettings
        ),
    )
    _exit_process()


def _exit_process() -> None:
    """Exits a daemon's process without the interpreter's exit handlers.

    pynng registers an exit handler that shuts nng down. If nng's threads are
    still closing connections then, nng panics in `nni_aio_stop`, and the
    supervisor sees SIGABRT instead of exit status 0. All sockets are closed
    and the log is written before, so nothing else needs the exit handlers.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)


def _check_file(options: argparse.Namespace) -> None:
    print(checking.check_file(options.file))


def _show_status(options: argparse.Namespace) -> None:
    try:
        addresses = [settings.parse_address(one) for one in options.addresses]
    except ValueError as error:
        raise errors.SettingsRefused(str(error)) from error
    with contextlib.suppress(KeyboardInterrupt):
        for repetition in range(options.repeat):
            if repetition:
                time.sleep(options.interval)
            _print_statuses(addresses, options)


def _print_statuses(
    addresses: list[settings.Address], options: argparse.Namespace
) -> None:
    for number, address in enumerate(addresses):
        try:
            data, status = status_client.fetch_status(address)
        except errors.SettingsRefused as error:
            if options.repeat == 1:
                raise
            print(f"sycamorefall: {error}", file=sys.stderr)
            continue
        if options.json:
            print(data.decode(), flush=True)
        else:
            separator = "\n" if number else ""
            print(separator + tables.format_status(status), flush=True)


def _explain_request(options: argparse.Namespace) -> None:
    found = request_explanation.explain_request(options.request, options.logs)
    print(request_explanation.format_explanation(found))


def _write_report(options: argparse.Namespace) -> None:
    found = snapshots.read_snapshots(options.files)
    if not found:
        raise errors.SettingsRefused("the files contain no status")
    report.write_report(found, options.output)
    print(f"{options.output}: {len(found)} statuses plotted")


if __name__ == "__main__":
    sys.exit(main())
