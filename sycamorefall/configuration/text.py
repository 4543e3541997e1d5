"""Parses and validates the configuration text: services, teams and limits.

Whether a text is valid depends on the text alone, so all processes make the
same decision about a revision.
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
"""Number of cached parsed blocks.

Enough for a text of one megabyte and the changed blocks of earlier texts.
"""

_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")
_KEY_HASH = re.compile(r"^[0-9a-f]{64}$")


def parse_configuration(
    text: str,
) -> result.Result[schema.Configuration, errors.ConfigurationRefused]:
    r"""Parses and validates a configuration text.

    Args:
        text: The INI text, as the platform publishes it.

    Returns:
        `Success` with the configuration, or `Failure` with the first error.

    Example:
        >>> parse_configuration("[service a]\nkind = odd").failure().line
        2
    """
    return parse_blocks(block.text for block in documents.split_blocks(text))


def parse_blocks(
    blocks: Iterable[str],
) -> result.Result[schema.Configuration, errors.ConfigurationRefused]:
    """Parses and validates a text that is split at section boundaries.

    Parsed blocks are cached, so after a change of one section only its block
    is parsed again. Parsing a whole text of one megabyte would block the
    process's single event loop for a second, and texts change 2,700 times a
    day.

    Args:
        blocks: Blocks of whole sections, whose concatenation is the text.

    Returns:
        `Success` with the configuration, or `Failure` with the first error.
    """
    try:
        return result.Success(_merge_blocks(_parse_all_blocks(blocks)))
    except errors.ConfigurationRefused as error:
        return result.Failure(error)


@dataclasses.dataclass(slots=True, frozen=True)
class _ParsedBlock:
    """Parsed content of a block.

    Attributes:
        teams: Teams by name.
        services: Services by name.
        limits: Section `[limits]`; None if the block doesn't have it.
        lines: Line numbers of sections and options within the block.
        line_count: Number of lines in the block.
    """

    teams: dict[str, schema.Team]
    services: dict[str, schema.Service]
    limits: schema.FleetLimits | None
    lines: ini.LineIndex
    line_count: int


def _parse_all_blocks(blocks: Iterable[str]) -> list[tuple[int, _ParsedBlock]]:
    """Parses blocks.

    Args:
        blocks: Blocks of whole sections, in the order of the text.

    Returns:
        For each block the number of lines before it, and its content.

    Raises:
        errors.ConfigurationRefused: A block is not valid; the line number is
            that in the whole text.
    """
    parsed: list[tuple[int, _ParsedBlock]] = []
    offset = 0
    for block in blocks:
        content = _parse_block(block)
        if isinstance(content, errors.ConfigurationRefused):
            line = offset + content.line if content.line else 0
            raise errors.ConfigurationRefused(line, content.reason)
        parsed.append((offset, content))
        offset += content.line_count
    return parsed


@functools.lru_cache(maxsize=PARSED_BLOCK_CACHE_SIZE)
def _parse_block(text: str) -> _ParsedBlock | errors.ConfigurationRefused:
    try:
        return _parse_sections(text)
    except errors.ConfigurationRefused as error:
        return errors.ConfigurationRefused(error.line, error.reason)


def _parse_sections(text: str) -> _ParsedBlock:
    ini_reader.check_unicode(text)
    lines = ini.LineIndex(text)
    parser = ini_reader.read_ini(text)
    teams = {
        name: _parse_team(name, dict(parser[section]), lines)
        for section, name in _select_sections(parser, "team", lines)
    }
    services = {
        name: _parse_service(name, dict(parser[section]), lines)
        for section, name in _select_sections(parser, "service", lines)
    }
    _refuse_unknown_sections(parser, lines)
    limits = None
    if parser.has_section("limits"):
        options = dict(parser["limits"])
        limits = _convert_options(options, schema.FleetLimits, "limits", lines)
    return _ParsedBlock(teams, services, limits, lines, text.count("\n"))


def _merge_blocks(
    parsed: list[tuple[int, _ParsedBlock]],
) -> schema.Configuration:
    lines = _merge_line_numbers(parsed)
    teams = _merge_sections([block.teams for _, block in parsed], "team", lines)
    services = _merge_sections(
        [block.services for _, block in parsed], "service", lines
    )
    limits = [block.limits for _, block in parsed if block.limits is not None]
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


def _merge_line_numbers(
    parsed: list[tuple[int, _ParsedBlock]],
) -> ini.LineIndex:
    lines = ini.LineIndex("")
    for offset, block in parsed:
        lines.add(block.lines, offset)
    return lines


def _merge_sections(
    maps: list[dict[str, Named]], kind: str, lines: ini.LineIndex
) -> dict[str, Named]:
    merged: dict[str, Named] = {}
    for named in maps:
        # The order is that of the text, so that all processes report the same
        # duplicate.
        duplicate = next((name for name in named if name in merged), None)
        if duplicate is not None:
            raise errors.ConfigurationRefused(
                lines.find(f"{kind} {duplicate}"),
                f"{kind} {duplicate} is listed twice",
            )
        merged |= named
    return merged


def _select_sections(
    parser: configparser.ConfigParser, kind: str, lines: ini.LineIndex
) -> list[tuple[str, str]]:
    selected = [
        (section, section[len(kind) :].strip())
        for section in parser.sections()
        if section.startswith(f"{kind} ")
    ]
    counts = collections.Counter(name for _, name in selected)
    for section, name in selected:
        if not _NAME.match(name):
            raise errors.ConfigurationRefused(
                lines.find(section), f"bad {kind} name {name!r}"
            )
        if counts[name] > 1:
            raise errors.ConfigurationRefused(
                lines.find(section), f"{kind} {name} is listed twice"
            )
    return selected


def _refuse_unknown_sections(
    parser: configparser.ConfigParser, lines: ini.LineIndex
) -> None:
    for section in parser.sections():
        known = section.startswith(("team ", "service ")) or section == "limits"
        if not known:
            raise errors.ConfigurationRefused(
                lines.find(section), f"unknown section [{section}]"
            )


def _parse_team(
    name: str, options: dict[str, str], lines: ini.LineIndex
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
    return _convert_options(fields, schema.Team, section, lines)


def _parse_service(
    name: str, options: dict[str, str], lines: ini.LineIndex
) -> schema.Service:
    section = f"service {name}"
    if "name" in options:
        raise errors.ConfigurationRefused(
            lines.find(section, "name"), f"[{section}]: unknown key name"
        )
    depends_on = _split_list(options.pop("depends_on", ""))
    fields = options | {"name": name, "depends_on": depends_on}
    return _convert_options(fields, schema.Service, section, lines)


def _split_list(value: str) -> tuple[str, ...]:
    parts = (part.strip() for part in value.replace("\n", ",").split(","))
    return tuple(part for part in parts if part)


_BOOLEANS = configparser.ConfigParser.BOOLEAN_STATES


def _convert_options(
    fields: dict[str, object], kind: type, section: str, lines: ini.LineIndex
) -> object:
    booleans = {"idempotent", "upstreams_check_orders"} & fields.keys()
    converted = {
        name: _BOOLEANS.get(str(value).lower(), value)
        if name in booleans
        else value
        for name, value in fields.items()
    }
    try:
        return msgspec.convert(converted, kind, strict=False)
    except msgspec.ValidationError as error:
        option = _find_option(str(error), fields)
        raise errors.ConfigurationRefused(
            lines.find(section, option), f"[{section}]: {error}"
        ) from error


def _find_option(error: str, fields: dict[str, object]) -> str:
    """Finds the option that a msgspec error names; empty if there is none."""
    match = re.search(r"`\$\.(\w+)|unknown field `(\w+)`", error)
    if not match:
        return ""
    option = match[1] or match[2]
    return option if option in fields else ""


def _index_keys(
    teams: dict[str, schema.Team], lines: ini.LineIndex
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
    services: dict[str, schema.Service], lines: ini.LineIndex
) -> None:
    for service in services.values():
        for dependency in service.depends_on:
            if dependency not in services:
                raise errors.ConfigurationRefused(
                    lines.find(f"service {service.name}", "depends_on"),
                    f"service {service.name} depends on unknown {dependency}",
                )
    dependencies = {
        name: service.depends_on for name, service in services.items()
    }
    try:
        graphlib.TopologicalSorter(dependencies).prepare()
    except graphlib.CycleError as error:
        cycle = error.args[1]
        raise errors.ConfigurationRefused(
            lines.find(f"service {cycle[0]}", "depends_on"),
            "services depend on each other in a cycle: "
            + " -> ".join(reversed(cycle)),
        ) from error
