"""The `sycamorefall` command."""

__all__ = ["main"]

import argparse
import configparser
import http.client
import json
import pathlib
import sys

from returns import result

import sycamorefall
from sycamorefall import configuration, errors, settings
from sycamorefall.router import daemon as router_daemon
from sycamorefall.sidecar import daemon as sidecar_daemon

EXIT_REFUSED = 2
"""Exit status when input or surroundings can't be used."""

STATUS_TIMEOUT = 3.0
"""Seconds that `status` waits for a process's answer."""

_DESCRIPTION = """\
A router fleet for teams who share model engines and plain services fairly.

One `router` runs on each entry VM, one `sidecar` beside each upstream. Both
read their settings from an INI file and the operators' configuration text
from the platform."""

_EPILOG = """\
examples:
  sycamorefall check fleet.ini            check an operators' text
  sycamorefall check router.ini           check a settings file
  sycamorefall router router.ini          run a router
  sycamorefall status 127.0.0.1:7400      ask a running process

exit status: 0 done, 2 refused (one line on standard error says why)"""


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
    router = commands.add_parser("router", help="run a router")
    router.add_argument("settings", help="INI file with the router's settings")
    router.set_defaults(run=_run_router)
    sidecar = commands.add_parser("sidecar", help="run a sidecar")
    sidecar.add_argument(
        "settings", help="INI file with the sidecar's settings"
    )
    sidecar.set_defaults(run=_run_sidecar)
    check = commands.add_parser(
        "check", help="check an operators' text or a settings file"
    )
    check.add_argument("file", help="the INI file")
    check.set_defaults(run=_check_file)
    status = commands.add_parser("status", help="ask a running process")
    status.add_argument("address", help="its data address, IP:port")
    status.add_argument(
        "--json", action="store_true", help="print JSON, not a table"
    )
    status.set_defaults(run=_show_status)
    return parser


def _run_router(options: argparse.Namespace) -> None:
    router_daemon.run_router(
        settings.read_settings(options.settings, settings.RouterSettings)
    )


def _run_sidecar(options: argparse.Namespace) -> None:
    sidecar_daemon.run_sidecar(
        settings.read_settings(options.settings, settings.SidecarSettings)
    )


def _check_file(options: argparse.Namespace) -> None:
    try:
        text = pathlib.Path(options.file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as fault:
        raise errors.SettingsRefused(f"{options.file}: {fault}") from fault
    kind = _guess_settings_kind(text)
    if kind is not None:
        settings.read_settings(options.file, kind)
        print(f"{options.file}: valid settings")
        return
    match configuration.parse_configuration(text):
        case result.Failure(fault):
            raise errors.SettingsRefused(f"{options.file}: {fault}")
        case result.Success(valid):
            print(
                f"{options.file}: valid configuration, "
                f"{len(valid.services)} services, {len(valid.teams)} teams"
            )


def _guess_settings_kind(text: str) -> type | None:
    """Tells settings files from operators' texts by their sections."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error:
        return None
    if not parser.has_section("vm"):
        return None
    if parser.has_section("upstream"):
        return settings.SidecarSettings
    return settings.RouterSettings


def _show_status(options: argparse.Namespace) -> None:
    try:
        address = settings.parse_address(options.address)
    except ValueError as fault:
        raise errors.SettingsRefused(str(fault)) from fault
    status = _fetch_status(address)
    if options.json:
        print(json.dumps(status))
        return
    width = max(map(len, status))
    for name, value in status.items():
        print(f"{name:<{width}}  {value}")


def _fetch_status(address: settings.Address) -> dict[str, object]:
    connection = http.client.HTTPConnection(
        *address.pair, timeout=STATUS_TIMEOUT
    )
    try:
        connection.request("GET", "/status")
        answer = connection.getresponse()
        return json.loads(answer.read())
    except (OSError, ValueError, http.client.HTTPException) as fault:
        raise errors.SettingsRefused(
            f"no status from {address}: {fault}"
        ) from fault
    finally:
        connection.close()


if __name__ == "__main__":
    sys.exit(main())
