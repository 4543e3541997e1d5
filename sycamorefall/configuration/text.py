"""The operators' text: services, teams and limits, parsed and checked.

Whether a text is valid depends on the text alone, so every process refuses
or accepts a revision alike.
"""

__all__ = [
    "Configuration",
    "FleetLimits",
    "Service",
    "ServiceKind",
    "Team",
    "hash_key",
    "parse_configuration",
]

import configparser
import enum
import hashlib
import re
from typing import Annotated

import msgspec
from returns import result

from sycamorefall import errors
from sycamorefall.configuration import ini

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]

_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")
_KEY_HASH = re.compile(r"^[0-9a-f]{64}$")
_LIMITS = "limits"


class ServiceKind(enum.Enum):
    """What stands behind a service."""

    ENGINE = "engine"
    PLAIN = "plain"


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[team NAME]`.

    Attributes:
        name: The team.
        weight: Its share relative to the other teams.
        keys_sha256: SHA-256 of each bearer key, in hex.
    """

    name: str
    keys_sha256: tuple[str, ...]
    weight: Positive = 1.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[service NAME]`.

    Attributes:
        name: The service; for engines, the model that callers name.
        kind: Model engine or plain service.
        depends_on: Services that its work calls.
        concurrency: Most requests in progress at one upstream.
        idempotent: Whether requests that don't say may be run again; by
            default engines' may, and plain services' by their HTTP method.
        prompt_weight: Cost units of one prompt token.
        output_weight: Cost units of one output token.
        upstreams_check_orders: Whether its upstreams refuse an order that
            carries an old fencing number.
    """

    name: str
    kind: ServiceKind
    depends_on: tuple[str, ...] = ()
    concurrency: Count = 8
    idempotent: bool | None = None
    prompt_weight: NotNegative = 1.0
    output_weight: NotNegative = 4.0
    upstreams_check_orders: bool = False


class FleetLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[limits]`: bounds that hold at every router alike.

    Attributes:
        waiting_per_team: Requests of one team that may wait at one router.
        waiting_per_router: Requests that may wait at one router.
        retries: Further attempts of an idempotent request.
    """

    waiting_per_team: Count = 500
    waiting_per_router: Count = 5000
    retries: Annotated[int, msgspec.Meta(ge=0)] = 2


class Configuration(msgspec.Struct, frozen=True):
    """A valid configuration.

    Attributes:
        teams: Teams by name.
        services: Services by name.
        limits: Bounds for all routers.
        team_by_key: Team name by SHA-256 of a bearer key.
        runs: What each run of sections says, by its text.
    """

    teams: dict[str, Team]
    services: dict[str, Service]
    limits: FleetLimits
    team_by_key: dict[str, str]
    runs: dict[str, "Run"] = {}


class Run(msgspec.Struct, frozen=True):
    """What a run of sections says.

    Attributes:
        sections: The sections in order: header, kind and name.
        teams: Its teams.
        services: Its services.
        limits: The bounds for all routers, if they are in this run.
    """

    sections: tuple[tuple[str, str, str], ...]
    teams: tuple[Team, ...]
    services: tuple[Service, ...]
    limits: FleetLimits | None


def hash_key(key: str) -> str:
    """Hashes a bearer key as the configuration text holds it.

    Example:
        >>> hash_key("secret")[:8]
        '2bb80d53'
    """
    return hashlib.sha256(key.encode("utf-8")).hexdigest()


def parse_configuration(
    text: str, known: Configuration | None = None
) -> result.Result[Configuration, errors.ConfigurationRefused]:
    r"""Parses and checks an operators' text.

    Args:
        text: The INI text, as the platform publishes it.
        known: The configuration in force; what it shares with the text is
            not parsed again.

    Returns:
        `Success` with the configuration, or `Failure` with the first fault.

    Example:
        >>> parse_configuration("[service a]\nkind = odd").failure().line
        2
    """
    try:
        return result.Success(_parse(text, known.runs if known else {}))
    except errors.ConfigurationRefused as fault:
        return result.Failure(fault)


def _parse(text: str, known: dict[str, Run]) -> Configuration:
    runs = _parse_runs(text, known)
    teams = {team.name: team for run in runs.values() for team in run.teams}
    services = {
        service.name: service
        for run in runs.values()
        for service in run.services
    }
    limits = (run.limits for run in runs.values() if run.limits)
    lines = ini.Lines(text)
    _check_dependencies(services, lines)
    return Configuration(
        teams=teams,
        services=services,
        limits=next(limits, FleetLimits()),
        team_by_key=_index_keys(teams, lines),
        runs=runs,
    )


def _parse_runs(text: str, known: dict[str, Run]) -> dict[str, Run]:
    """Parses a text run by run.

    Guards against a large text that stops the loop: while it is parsed no
    token is passed on and no heartbeat sent. It also takes many times its
    size of memory, which Python does not give back. So only the runs that
    changed are parsed, and one at a time.
    """
    runs: dict[str, Run] = {}
    seen: set[tuple[str, str]] = set()
    first_line = 0
    for part in ini.split_runs(text):
        try:
            run = known.get(part) or _parse_run(part)
            _refuse_repeated(run, seen, part)
        except errors.ConfigurationRefused as fault:
            line = first_line + fault.line if fault.line else 0
            raise errors.ConfigurationRefused(line, fault.reason) from fault
        runs[part] = run
        first_line += part.count("\n")
    return runs


def _refuse_repeated(run: Run, seen: set[tuple[str, str]], part: str) -> None:
    for section, kind, name in run.sections:
        if (kind, name) in seen:
            raise errors.ConfigurationRefused(
                ini.Lines(part).find(section),
                f"{kind} {name}".strip() + " is listed twice",
            )
        seen.add((kind, name))


def _parse_run(part: str) -> Run:
    lines = ini.Lines(part)
    parser = ini.read_ini(part)
    chosen = tuple(
        _split_section(section, lines) for section in parser.sections()
    )
    has_limits = parser.has_section(_LIMITS)
    return Run(
        sections=chosen,
        teams=tuple(
            _parse_team(name, dict(parser[section]), lines)
            for section, kind, name in chosen
            if kind == "team"
        ),
        services=tuple(
            _parse_service(name, dict(parser[section]), lines)
            for section, kind, name in chosen
            if kind == "service"
        ),
        limits=_convert(dict(parser[_LIMITS]), FleetLimits, _LIMITS, lines)
        if has_limits
        else None,
    )


def _split_section(section: str, lines: ini.Lines) -> tuple[str, str, str]:
    """Splits a section's header into its kind and its name."""
    if section == _LIMITS:
        return section, _LIMITS, ""
    kind, separator, rest = section.partition(" ")
    if not separator or kind not in ("team", "service"):
        raise errors.ConfigurationRefused(
            lines.find(section), f"unknown section [{section}]"
        )
    name = rest.strip()
    if not _NAME.match(name):
        raise errors.ConfigurationRefused(
            lines.find(section), f"bad {kind} name {name!r}"
        )
    return section, kind, name


def _parse_team(name: str, options: dict[str, str], lines: ini.Lines) -> Team:
    section = f"team {name}"
    keys = _split_list(options.pop("keys_sha256", ""))
    for key in keys:
        if not _KEY_HASH.match(key):
            raise errors.ConfigurationRefused(
                lines.find(section, "keys_sha256"),
                f"team {name}: a key hash is 64 hex digits, got {key!r}",
            )
    if "name" in options:
        raise errors.ConfigurationRefused(
            lines.find(section, "name"), f"[{section}]: unknown key name"
        )
    fields = options | {"name": name, "keys_sha256": keys}
    return _convert(fields, Team, section, lines)


def _parse_service(
    name: str, options: dict[str, str], lines: ini.Lines
) -> Service:
    section = f"service {name}"
    if "name" in options:
        raise errors.ConfigurationRefused(
            lines.find(section, "name"), f"[{section}]: unknown key name"
        )
    depends_on = _split_list(options.pop("depends_on", ""))
    fields = options | {"name": name, "depends_on": depends_on}
    return _convert(fields, Service, section, lines)


def _split_list(value: str) -> tuple[str, ...]:
    parts = (part.strip() for part in value.replace("\n", ",").split(","))
    return tuple(part for part in parts if part)


_BOOLEANS = configparser.ConfigParser.BOOLEAN_STATES


def _convert(
    fields: dict[str, object], kind: type, section: str, lines: ini.Lines
) -> object:
    booleans = {"idempotent", "upstreams_check_orders"} & fields.keys()
    readable = {
        name: _BOOLEANS.get(str(value).lower(), value)
        if name in booleans
        else value
        for name, value in fields.items()
    }
    try:
        return msgspec.convert(readable, kind, strict=False)
    except msgspec.ValidationError as fault:
        option = _find_option(str(fault), fields)
        raise errors.ConfigurationRefused(
            lines.find(section, option), f"[{section}]: {fault}"
        ) from fault


def _find_option(fault: str, fields: dict[str, object]) -> str:
    """Finds the option that a msgspec fault is about."""
    named = re.search(r"`\$\.(\w+)|unknown field `(\w+)`", fault)
    if not named:
        return ""
    option = named[1] or named[2]
    return option if option in fields else ""


def _index_keys(teams: dict[str, Team], lines: ini.Lines) -> dict[str, str]:
    index: dict[str, str] = {}
    for team in teams.values():
        for key in team.keys_sha256:
            if index.setdefault(key, team.name) != team.name:
                raise errors.ConfigurationRefused(
                    lines.find(f"team {team.name}", "keys_sha256"),
                    f"teams {index[key]} and {team.name} share a key",
                )
    return index


def _check_dependencies(services: dict[str, Service], lines: ini.Lines) -> None:
    for service in services.values():
        for needed in service.depends_on:
            if needed not in services:
                raise errors.ConfigurationRefused(
                    lines.find(f"service {service.name}", "depends_on"),
                    f"service {service.name} depends on unknown {needed}",
                )
    settled: set[str] = set()
    for name in services:
        _visit_dependencies(name, services, settled, (), lines)


def _visit_dependencies(
    name: str,
    services: dict[str, Service],
    settled: set[str],
    path: tuple[str, ...],
    lines: ini.Lines,
) -> None:
    if name in path:
        cycle = " -> ".join((*path[path.index(name) :], name))
        raise errors.ConfigurationRefused(
            lines.find(f"service {name}", "depends_on"),
            f"services depend on each other in a cycle: {cycle}",
        )
    if name in settled:
        return
    for needed in services[name].depends_on:
        _visit_dependencies(needed, services, settled, (*path, name), lines)
    settled.add(name)
