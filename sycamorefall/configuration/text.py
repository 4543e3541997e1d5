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
    "parse_blocks",
    "parse_configuration",
]

import collections
from collections.abc import Iterable
import configparser
import dataclasses
import enum
import functools
import graphlib
import hashlib
import re
from typing import Annotated, TypeVar

import msgspec
from returns import result

from sycamorefall import errors
from sycamorefall.configuration import documents

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]

KEPT_BLOCKS = 512
"""Parsed blocks that are kept: a megabyte's, and those of texts before it."""

_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")
_KEY_HASH = re.compile(r"^[0-9a-f]{64}$")
_SECTION = re.compile(r"^\s*\[(?P<section>[^]]*)\]")
_OPTION = re.compile(r"^(?P<option>[^\s=:#;][^=:]*?)\s*[=:]")


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


Named = TypeVar("Named", Team, Service)


class Configuration(msgspec.Struct, frozen=True):
    """A valid configuration.

    Attributes:
        teams: Teams by name.
        services: Services by name.
        limits: Bounds for all routers.
        team_by_key: Team name by SHA-256 of a bearer key.
    """

    teams: dict[str, Team]
    services: dict[str, Service]
    limits: FleetLimits
    team_by_key: dict[str, str]


def hash_key(key: str) -> str:
    """Hashes a bearer key as the configuration text holds it.

    Example:
        >>> hash_key("secret")[:8]
        '2bb80d53'
    """
    return hashlib.sha256(key.encode("utf-8")).hexdigest()


def parse_configuration(
    text: str,
) -> result.Result[Configuration, errors.ConfigurationRefused]:
    r"""Parses and checks an operators' text.

    Args:
        text: The INI text, as the platform publishes it.

    Returns:
        `Success` with the configuration, or `Failure` with the first fault.

    Example:
        >>> parse_configuration("[service a]\nkind = odd").failure().line
        2
    """
    return parse_blocks(block.text for block in documents.split_blocks(text))


def parse_blocks(
    blocks: Iterable[str],
) -> result.Result[Configuration, errors.ConfigurationRefused]:
    """Parses and checks a text that is cut at section boundaries.

    What a block holds is kept, so a change of one section costs the parsing
    of its block and not of a megabyte, which would stop the one loop of a
    process for a second, 2,700 times a day.

    Args:
        blocks: Runs of whole sections; joined they are the text.

    Returns:
        `Success` with the configuration, or `Failure` with the first fault.
    """
    try:
        return result.Success(_join_parts(_parse_parts(blocks)))
    except errors.ConfigurationRefused as fault:
        return result.Failure(fault)


@dataclasses.dataclass(slots=True, frozen=True)
class _Part:
    """What a block holds.

    Attributes:
        teams: Teams by name.
        services: Services by name.
        limits: The bounds, if they are here.
        lines: Line numbers within the block.
        count: Lines of the block.
    """

    teams: dict[str, Team]
    services: dict[str, Service]
    limits: FleetLimits | None
    lines: "_Lines"
    count: int


def _parse_parts(blocks: Iterable[str]) -> list[tuple[int, _Part]]:
    """Parses blocks; gives each with the number of lines before it."""
    parts: list[tuple[int, _Part]] = []
    before = 0
    for block in blocks:
        part = _parse_block(block)
        if isinstance(part, errors.ConfigurationRefused):
            line = before + part.line if part.line else 0
            raise errors.ConfigurationRefused(line, part.reason)
        parts.append((before, part))
        before += part.count
    return parts


@functools.lru_cache(maxsize=KEPT_BLOCKS)
def _parse_block(text: str) -> _Part | errors.ConfigurationRefused:
    try:
        return _parse(text)
    except errors.ConfigurationRefused as fault:
        return errors.ConfigurationRefused(fault.line, fault.reason)


def _parse(text: str) -> _Part:
    _check_unicode(text)
    lines = _Lines(text)
    parser = _read_ini(text)
    teams = {
        name: _parse_team(name, dict(parser[section]), lines)
        for section, name in _select_sections(parser, "team", lines)
    }
    services = {
        name: _parse_service(name, dict(parser[section]), lines)
        for section, name in _select_sections(parser, "service", lines)
    }
    _refuse_other_sections(parser, lines)
    limits = None
    if parser.has_section("limits"):
        options = dict(parser["limits"])
        limits = _convert(options, FleetLimits, "limits", lines)
    return _Part(teams, services, limits, lines, text.count("\n"))


def _check_unicode(text: str) -> None:
    """Refuses half of a surrogate pair, which no codec down the line takes."""
    try:
        text.encode("utf-8")
    except UnicodeEncodeError as fault:
        line = text.count("\n", 0, fault.start) + 1
        raise errors.ConfigurationRefused(line, "not Unicode") from fault


def _join_parts(parts: list[tuple[int, _Part]]) -> Configuration:
    lines = _join_lines(parts)
    teams = _join_named([part.teams for _, part in parts], "team", lines)
    services = _join_named(
        [part.services for _, part in parts], "service", lines
    )
    limits = [part.limits for _, part in parts if part.limits is not None]
    if len(limits) > 1:
        raise errors.ConfigurationRefused(
            lines.find("limits"), "section [limits] is there twice"
        )
    _check_dependencies(services, lines)
    return Configuration(
        teams=teams,
        services=services,
        limits=limits[0] if limits else FleetLimits(),
        team_by_key=_index_keys(teams, lines),
    )


def _join_lines(parts: list[tuple[int, _Part]]) -> "_Lines":
    lines = _Lines("")
    for before, part in parts:
        lines.add(part.lines, before)
    return lines


def _join_named(
    maps: list[dict[str, Named]], kind: str, lines: "_Lines"
) -> dict[str, Named]:
    joined: dict[str, Named] = {}
    for named in maps:
        # In the text's order, so that all processes name the same one.
        twice = next((name for name in named if name in joined), None)
        if twice is not None:
            raise errors.ConfigurationRefused(
                lines.find(f"{kind} {twice}"), f"{kind} {twice} is listed twice"
            )
        joined |= named
    return joined


class _Lines:
    """Line numbers of sections and options of an INI text.

    They are wanted only where a text is refused, so they are counted then;
    kept for all blocks they would take more memory than what these say.
    """

    __slots__ = ("_numbers", "_parts", "_text")

    def __init__(self, text: str):
        self._text = text
        self._numbers: dict[tuple[str, str], int] | None = None
        self._parts: list[tuple[int, _Lines]] = []

    def add(self, other: "_Lines", before: int) -> None:
        """Adds those of a block that has this many lines before it."""
        self._parts.append((before, other))

    def find(self, section: str, option: str = "") -> int:
        """Returns the line of an option, else of its section, else 0."""
        for before, lines in self._parts:
            if line := lines.find(section, option):
                return before + line
        if self._numbers is None:
            self._numbers = _number_lines(self._text)
        whole = self._numbers.get((section, ""), 0)
        return self._numbers.get((section, option), whole)


def _number_lines(text: str) -> dict[tuple[str, str], int]:
    numbers: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.split("\n"), start=1):
        if header := _SECTION.match(line):
            section = header["section"]
            numbers.setdefault((section, ""), number)
        elif option := _OPTION.match(line):
            numbers.setdefault((section, option["option"].lower()), number)
    return numbers


def _read_ini(text: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text)
    except configparser.MissingSectionHeaderError as fault:
        reason = "text before the first [section]"
        raise errors.ConfigurationRefused(fault.lineno, reason) from fault
    except configparser.ParsingError as fault:
        line = fault.errors[0][0]
        raise errors.ConfigurationRefused(line, "not an INI line") from fault
    except configparser.DuplicateSectionError as fault:
        reason = f"[{fault.section}] is listed twice"
        raise errors.ConfigurationRefused(fault.lineno, reason) from fault
    except configparser.DuplicateOptionError as fault:
        reason = f"[{fault.section}]: {fault.option} is given twice"
        raise errors.ConfigurationRefused(fault.lineno, reason) from fault
    except configparser.Error as fault:
        line = getattr(fault, "lineno", None) or 0
        reason = " ".join(str(fault).split())
        raise errors.ConfigurationRefused(line, reason) from fault
    return parser


def _select_sections(
    parser: configparser.ConfigParser, kind: str, lines: _Lines
) -> list[tuple[str, str]]:
    chosen = [
        (section, section[len(kind) :].strip())
        for section in parser.sections()
        if section.startswith(f"{kind} ")
    ]
    counts = collections.Counter(name for _, name in chosen)
    for section, name in chosen:
        if not _NAME.match(name):
            raise errors.ConfigurationRefused(
                lines.find(section), f"bad {kind} name {name!r}"
            )
        if counts[name] > 1:
            raise errors.ConfigurationRefused(
                lines.find(section), f"{kind} {name} is listed twice"
            )
    return chosen


def _refuse_other_sections(
    parser: configparser.ConfigParser, lines: _Lines
) -> None:
    for section in parser.sections():
        known = section.startswith(("team ", "service ")) or section == "limits"
        if not known:
            raise errors.ConfigurationRefused(
                lines.find(section), f"unknown section [{section}]"
            )


def _parse_team(name: str, options: dict[str, str], lines: _Lines) -> Team:
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
    name: str, options: dict[str, str], lines: _Lines
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
    fields: dict[str, object], kind: type, section: str, lines: _Lines
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


def _index_keys(teams: dict[str, Team], lines: _Lines) -> dict[str, str]:
    index: dict[str, str] = {}
    for team in teams.values():
        for key in team.keys_sha256:
            if index.setdefault(key, team.name) != team.name:
                raise errors.ConfigurationRefused(
                    lines.find(f"team {team.name}", "keys_sha256"),
                    f"teams {index[key]} and {team.name} share a key",
                )
    return index


def _check_dependencies(services: dict[str, Service], lines: _Lines) -> None:
    for service in services.values():
        for needed in service.depends_on:
            if needed not in services:
                raise errors.ConfigurationRefused(
                    lines.find(f"service {service.name}", "depends_on"),
                    f"service {service.name} depends on unknown {needed}",
                )
    needed_by = {name: service.depends_on for name, service in services.items()}
    try:
        graphlib.TopologicalSorter(needed_by).prepare()
    except graphlib.CycleError as fault:
        cycle = fault.args[1]
        raise errors.ConfigurationRefused(
            lines.find(f"service {cycle[0]}", "depends_on"),
            "services depend on each other in a cycle: "
            + " -> ".join(reversed(cycle)),
        ) from fault
