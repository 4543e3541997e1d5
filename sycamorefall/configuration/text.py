"""The operators' text: services, teams and limits, parsed and checked.

Whether a text is valid depends on the text alone, so every process refuses
or accepts a revision alike.
"""

__all__ = ["parse_blocks", "parse_configuration"]

import collections
from collections.abc import Iterable
import configparser
import dataclasses
import functools
import graphlib
import re
from typing import TypeVar

import msgspec
from returns import result

from sycamorefall import errors, ini
from sycamorefall.configuration import documents, ini_reader, schema

Named = TypeVar("Named", schema.Team, schema.Service)

PARSED_BLOCK_CACHE_SIZE = 512
"""Parsed blocks that are kept: a megabyte's, and those of texts before it."""

_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")
_KEY_HASH = re.compile(r"^[0-9a-f]{64}$")


def parse_configuration(
    text: str,
) -> result.Result[schema.Configuration, errors.ConfigurationRefused]:
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
) -> result.Result[schema.Configuration, errors.ConfigurationRefused]:
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

    teams: dict[str, schema.Team]
    services: dict[str, schema.Service]
    limits: schema.FleetLimits | None
    lines: ini.Lines
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


@functools.lru_cache(maxsize=PARSED_BLOCK_CACHE_SIZE)
def _parse_block(text: str) -> _Part | errors.ConfigurationRefused:
    try:
        return _parse(text)
    except errors.ConfigurationRefused as fault:
        return errors.ConfigurationRefused(fault.line, fault.reason)


def _parse(text: str) -> _Part:
    ini_reader.check_unicode(text)
    lines = ini.Lines(text)
    parser = ini_reader.read_ini(text)
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
        limits = _convert(options, schema.FleetLimits, "limits", lines)
    return _Part(teams, services, limits, lines, text.count("\n"))


def _join_parts(parts: list[tuple[int, _Part]]) -> schema.Configuration:
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
    return schema.Configuration(
        teams=teams,
        services=services,
        limits=limits[0] if limits else schema.FleetLimits(),
        team_by_key=_index_keys(teams, lines),
    )


def _join_lines(parts: list[tuple[int, _Part]]) -> ini.Lines:
    lines = ini.Lines("")
    for before, part in parts:
        lines.add(part.lines, before)
    return lines


def _join_named(
    maps: list[dict[str, Named]], kind: str, lines: ini.Lines
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


def _select_sections(
    parser: configparser.ConfigParser, kind: str, lines: ini.Lines
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
    parser: configparser.ConfigParser, lines: ini.Lines
) -> None:
    for section in parser.sections():
        known = section.startswith(("team ", "service ")) or section == "limits"
        if not known:
            raise errors.ConfigurationRefused(
                lines.find(section), f"unknown section [{section}]"
            )


def _parse_team(
    name: str, options: dict[str, str], lines: ini.Lines
) -> schema.Team:
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
    return _convert(fields, schema.Team, section, lines)


def _parse_service(
    name: str, options: dict[str, str], lines: ini.Lines
) -> schema.Service:
    section = f"service {name}"
    if "name" in options:
        raise errors.ConfigurationRefused(
            lines.find(section, "name"), f"[{section}]: unknown key name"
        )
    depends_on = _split_list(options.pop("depends_on", ""))
    fields = options | {"name": name, "depends_on": depends_on}
    return _convert(fields, schema.Service, section, lines)


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


def _index_keys(
    teams: dict[str, schema.Team], lines: ini.Lines
) -> dict[str, str]:
    index: dict[str, str] = {}
    for team in teams.values():
        for key in team.keys_sha256:
            if index.setdefault(key, team.name) != team.name:
                raise errors.ConfigurationRefused(
                    lines.find(f"team {team.name}", "keys_sha256"),
                    f"teams {index[key]} and {team.name} share a key",
                )
    return index


def _check_dependencies(
    services: dict[str, schema.Service], lines: ini.Lines
) -> None:
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
