"""Generates the tables of docs/reference/ from the code.

`make reference` writes them into the pages, between markers. A test fails if
a page doesn't match the code.
"""

import argparse
import inspect
import pathlib
import re
import types
import typing

import msgspec

from sycamorefall import command, configuration, errors, settings
from sycamorefall.admission import parent_tokens
from sycamorefall.observation import status
from sycamorefall.router import request_parsing

PAGES = pathlib.Path(__file__).parents[1] / "docs" / "reference"

SETTINGS_SECTIONS = {
    "vm": settings.VmSettings,
    "listen": settings.ListenSettings,
    "platform": settings.PlatformSettings,
    "peers": settings.PeerSettings,
    "bounds": settings.BoundSettings,
    "upstream": settings.UpstreamSettings,
    "limits": settings.LimitSettings,
    "security": settings.SecuritySettings,
    "log": settings.LogSettings,
}

TEXT_SECTIONS = {
    "service NAME": configuration.Service,
    "team NAME": configuration.Team,
    "limits": configuration.FleetLimits,
}

STATUS_PARTS = (
    status.ProcessStatus,
    status.RouterStatus,
    status.SidecarStatus,
    status.TeamStatus,
    status.ReplicationStatus,
)


def build_tables() -> dict[str, dict[str, str]]:
    """Builds all tables, by page and table name."""
    return {
        "settings.md": {
            name: format_struct_table(struct)
            for name, struct in SETTINGS_SECTIONS.items()
        },
        "configuration.md": {
            name: format_struct_table(struct, hidden=("name",))
            for name, struct in TEXT_SECTIONS.items()
        },
        "errors.md": {"kinds": format_error_table()},
        "interface.md": {
            "headers": format_header_table(),
            **{
                part.__name__: format_attribute_table(part)
                for part in STATUS_PARTS
            },
        },
        "command.md": format_commands(),
    }


def format_table(head: tuple[str, ...], rows) -> str:
    lines = [head, tuple("---" for _ in head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def parse_attributes(struct: type) -> dict[str, str]:
    """Parses the `Attributes:` section of a class's docstring."""
    doc = inspect.getdoc(struct) or ""
    _, _, block = doc.partition("Attributes:\n")
    entries = re.findall(
        r"^ {4}(\w+): (.+?)(?=^ {4}\w+: |\Z)", block, re.MULTILINE | re.DOTALL
    )
    return {name: " ".join(text.split()) for name, text in entries}


def format_type(kind: object) -> str:
    if typing.get_origin(kind) is typing.Annotated:
        kind, *bounds = typing.get_args(kind)
        texts = [format_bound(bound) for bound in bounds]
        return " ".join([format_type(kind), *texts]).strip()
    if typing.get_origin(kind) is typing.Literal:
        return " or ".join(f"`{value}`" for value in typing.get_args(kind))
    if isinstance(kind, types.UnionType):
        parts = [p for p in typing.get_args(kind) if p is not types.NoneType]
        return " or ".join(map(format_type, parts))
    if isinstance(kind, type) and issubclass(kind, configuration.ServiceKind):
        return " or ".join(f"`{member.value}`" for member in kind)
    if typing.get_origin(kind) is tuple:
        return "comma-separated list"
    names = {
        str: "text",
        int: "whole number",
        float: "number",
        bool: "`yes` or `no`",
        settings.Address: "`IP:port`",
    }
    return names[kind]


def format_bound(bound: msgspec.Meta) -> str:
    if bound.gt is not None:
        return f"above {bound.gt}"
    if bound.ge is not None:
        return f"of at least {bound.ge}"
    return "of letters, digits, `.`, `_`, `-`"


def format_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    value = field.default
    if isinstance(value, bool):
        return "`yes`" if value else "`no`"
    return "none" if value in (None, "", ()) else f"`{value}`"


def format_struct_table(struct: type, hidden: tuple[str, ...] = ()) -> str:
    texts = parse_attributes(struct)
    hints = typing.get_type_hints(struct, include_extras=True)
    rows = [
        (
            f"`{field.name}`",
            format_type(hints[field.name]),
            format_default(field),
            texts[field.name],
        )
        for field in msgspec.structs.fields(struct)
        if field.name not in hidden
    ]
    return format_table(("key", "value", "default", "meaning"), rows)


def format_attribute_table(struct: type) -> str:
    texts = parse_attributes(struct)
    rows = [(f"`{name}`", text) for name, text in texts.items()]
    return format_table(("field", "meaning"), rows)


def format_error_table() -> str:
    rows = [
        (
            f"`{kind.value}`",
            str(answer.status),
            f"`{answer.ran.value}`",
            "yes" if answer.retry else "no",
            errors.MEANINGS[kind],
        )
        for kind, answer in errors.ANSWERS.items()
    ]
    head = ("kind", "status", "ran", "Retry-After", "meaning")
    return format_table(head, rows)


def format_header_table() -> str:
    rows = [
        (f"`{name}`", value, meaning)
        for name, value, meaning in (
            ("Authorization", "`Bearer KEY`", "The team's key. Required."),
            (
                request_parsing.TIMEOUT_HEADER,
                "seconds, above 0",
                "Time limit, counted from the request's arrival. "
                "Default and maximum: `[limits]` of the router's settings.",
            ),
            (
                request_parsing.IDEMPOTENT_HEADER,
                "`true` or `false`",
                "Whether the request may be run more than once. Default: the "
                "service's `idempotent`; else yes at engines, and by method at "
                "plain services.",
            ),
            (
                request_parsing.COST_HEADER,
                "a number, not below 0",
                "The caller's estimate of the cost, in cost units.",
            ),
            (
                request_parsing.REQUEST_ID_HEADER,
                "ASCII text",
                "The caller's identifier of the request; forwarded to the "
                "upstream, and in the logs of router and sidecar.",
            ),
            (
                parent_tokens.PARENT_HEADER,
                "as received",
                "For upstreams: to be sent with the calls that they make on "
                "behalf of a request. These calls are accounted to the team "
                "of the request and share its deadline.",
            ),
        )
    ]
    return format_table(("header", "value", "meaning"), rows)


def format_commands() -> dict[str, str]:
    parser = command._create_parser()
    (commands,) = (
        action
        for action in parser._actions
        if isinstance(action, argparse._SubParsersAction)
    )
    parsers = {"sycamorefall": parser, **commands.choices}
    return {
        name: format_help(command_parser)
        for name, command_parser in parsers.items()
    }


def format_help(parser: argparse.ArgumentParser) -> str:
    parser.formatter_class = lambda prog: argparse.RawDescriptionHelpFormatter(
        prog, width=80
    )
    return f"```text\n{parser.format_help().rstrip()}\n```"


def replace_tables(text: str, tables: dict[str, str]) -> str:
    """Replaces the tables between the markers of a page.

    Args:
        text: Text of the page.
        tables: New tables by name.

    Raises:
        ValueError: The page lacks the markers of a table.
    """
    for name, table in tables.items():
        begin, end = f"<!-- table: {name} -->", "<!-- end -->"
        before, found, rest = text.partition(begin)
        _, closed, after = rest.partition(end)
        if not (found and closed):
            raise ValueError(f"the page lacks {begin} ... {end}")
        text = f"{before}{begin}\n{table}\n{end}{after}"
    return text


def main() -> None:
    """Updates the tables of all pages."""
    for page, tables in build_tables().items():
        path = PAGES / page
        path.write_text(replace_tables(path.read_text(), tables))


if __name__ == "__main__":
    main()
