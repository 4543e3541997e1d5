"""The `sycamorefall` command."""

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
"""Exit status when input or surroundings can't be used."""

_DESCRIPTION = """\
A router fleet for teams who share model engines and plain services fairly.

One `router` runs on each entry VM, one `sidecar` beside each upstream. Both
read their settings from an INI file and the operators' configuration text
from the platform. Operators drive the fleet by editing that text and by
marking VMs as joining or leaving; `check` tells whether a file is good,
`status` and `report` show what runs."""

_EPILOG = """\
examples:
  sycamorefall check fleet.ini            check an operators' text
  sycamorefall check router.ini           check a settings file
  sycamorefall router router.ini          run a router
  sycamorefall status 127.0.0.1:7400      ask a running process

`sycamorefall COMMAND --help` tells more of each command.
exit status: 0 done, 2 refused (one line on standard error says why)"""

_ROUTER_HELP = """\
Runs a router in the foreground until SIGTERM or SIGINT. Then it takes nothing
new (/ready says 503), serves what it has accepted to its end, and exits 0.

The settings file has the sections [vm], [listen] and [platform], and may have
[limits], [security] and [log]; examples/router.ini shows them."""

_SIDECAR_HELP = """\
Runs a sidecar in the foreground until SIGTERM or SIGINT. Then it claims
nothing new, lets what runs at its upstream end, and exits 0.

The settings file has the sections [vm], [listen], [platform] and [upstream],
and may have [limits], [security] and [log]; examples/sidecar.ini shows
them."""

_CHECK_HELP = """\
Checks an operators' text or a settings file and names the line and the reason
if it can't be used. Which of both it is shows from its sections. A text that
this command accepts is accepted by every process of the same version."""

_STATUS_HELP = """\
Asks running processes for their status and prints tables: the process, the
teams with work waiting, times, and the other processes it hears or misses.

ADDRESS is the process's [listen] operators address; if it has none, its data
address, which answers on the same VM only."""

_STATUS_EPILOG = """\
examples:
  sycamorefall status 127.0.0.1:7400
  sycamorefall status --json 10.0.0.4:7402 | python -m json.tool
  sycamorefall status --json --repeat 60 --interval 1 \\
      10.0.0.4:7402 10.0.1.4:7502 >> snapshots.jsonl"""

_REPORT_HELP = """\
Draws, from statuses that `status --json --repeat` saved, how long requests
waited and ran, by team, and the fairness gap between teams over time. The gap
is drawn from statuses of sidecars, the times from those of routers.
Needs matplotlib: pip install 'sycamorefall[report]'."""


_EXPLAIN_HELP = """\
Collects what the logs of several processes say of one request, orders it, adds
what concerned the whole process shortly before and meanwhile (a lost platform,
changed upstreams), and says the cause and what the logs lack.

Lines of the request begin with an asterisk. Times are by each process's own
clock. Text in front of a record, as log collectors put it, does no harm."""

_EXPLAIN_EPILOG = """\
examples:
  sycamorefall explain 9c41d07be2a35f68 router-*.log"""


def main(arguments: list[str] | None = None) -> int:
    """Runs the command.

    Args:
        arguments: Command line without the program's name; that of the
            process if None.

    Returns:
        The exit status.
    """
    options = _create_parser().parse_args(arguments)
    try:
        options.run(options)
    except errors.SycamorefallError as fault:
        print(f"sycamorefall: {fault}", file=sys.stderr)
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
    router.add_argument("settings", help="INI file with its settings")
    router.set_defaults(run=_run_router)
    sidecar = _add_command(commands, "sidecar", "run a sidecar", _SIDECAR_HELP)
    sidecar.add_argument("settings", help="INI file with its settings")
    sidecar.set_defaults(run=_run_sidecar)
    check = _add_command(
        commands,
        "check",
        "check an operators' text or a settings file",
        _CHECK_HELP,
    )
    check.add_argument("file", help="the INI file")
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
        "ask running processes",
        _STATUS_HELP,
        _STATUS_EPILOG,
    )
    status.add_argument(
        "addresses", metavar="ADDRESS", nargs="+", help="IP:port"
    )
    status.add_argument(
        "--json",
        action="store_true",
        help="print one JSON object a line, histograms whole, not tables",
    )
    status.add_argument(
        "--repeat",
        type=_read_count,
        default=1,
        metavar="N",
        help="ask N times; with --json, a process that does not answer is "
        "named on standard error and asked again the next time",
    )
    status.add_argument(
        "--interval",
        type=_read_seconds,
        default=1.0,
        metavar="S",
        help="seconds between two times (default: 1)",
    )
    status.set_defaults(run=_show_status)


def _add_report(commands) -> None:
    command = _add_command(
        commands, "report", "draw histograms and the gap", _REPORT_HELP
    )
    command.add_argument(
        "files", metavar="FILE", nargs="+", help="saved statuses"
    )
    command.add_argument(
        "-o",
        "--output",
        required=True,
        help="the page or picture to write: .html or .png",
    )
    command.set_defaults(run=_write_report)


def _add_explain(commands) -> None:
    command = _add_command(
        commands,
        "explain",
        "tell from logs what became of a request",
        _EXPLAIN_HELP,
        _EXPLAIN_EPILOG,
    )
    command.add_argument(
        "request", metavar="REQUEST-ID", help="the id that its caller sent"
    )
    command.add_argument(
        "logs", metavar="LOG", nargs="+", help="log of a process"
    )
    command.set_defaults(run=_explain_request)


def _read_count(text: str) -> int:
    if not text.isdecimal() or int(text) < 1:
        raise argparse.ArgumentTypeError("expected a whole number above 0")
    return int(text)


def _read_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0.0 <= seconds < float("inf"):
        raise argparse.ArgumentTypeError("expected seconds, not below 0")
    return seconds


def _run_router(options: argparse.Namespace) -> None:
    router_daemon.run_router(
        settings.read_settings(options.settings, settings.RouterSettings)
    )
    _end_process()


def _run_sidecar(options: argparse.Namespace) -> None:
    sidecar_daemon.run_sidecar(
        settings.read_settings(options.settings, settings.SidecarSettings)
    )
    _end_process()


def _end_process() -> None:
    """Ends a daemon's process without the clean-up of the interpreter.

    Guards against an abort after a flawless stop: pynng has nng cleaned up
    at the interpreter's exit, while nng's own threads may still be taking
    connections down; nng then panics in `nni_aio_stop`, and the supervisor
    sees SIGABRT in place of status 0. All sockets are closed by now and the
    log is written, so there is nothing left to clean up.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)


def _check_file(options: argparse.Namespace) -> None:
    print(checking.check_file(options.file))


def _show_status(options: argparse.Namespace) -> None:
    try:
        addresses = [settings.parse_address(one) for one in options.addresses]
    except ValueError as fault:
        raise errors.SettingsRefused(str(fault)) from fault
    with contextlib.suppress(KeyboardInterrupt):
        for turn in range(options.repeat):
            if turn:
                time.sleep(options.interval)
            _print_statuses(addresses, options)


def _print_statuses(
    addresses: list[settings.Address], options: argparse.Namespace
) -> None:
    for number, address in enumerate(addresses):
        try:
            data, status = status_client.fetch_status(address)
        except errors.SettingsRefused as fault:
            if options.repeat == 1:
                raise
            print(f"sycamorefall: {fault}", file=sys.stderr)
            continue
        if options.json:
            print(data.decode(), flush=True)
        else:
            gap = "\n" if number else ""
            print(gap + tables.format_status(status), flush=True)


def _explain_request(options: argparse.Namespace) -> None:
    found = request_explanation.explain_request(options.request, options.logs)
    print(request_explanation.format_explanation(found))


def _write_report(options: argparse.Namespace) -> None:
    found = snapshots.read_snapshots(options.files)
    if not found:
        raise errors.SettingsRefused("the files hold no status")
    report.write_report(found, options.output)
    print(f"{options.output}: {len(found)} statuses drawn")


if __name__ == "__main__":
    sys.exit(main())
