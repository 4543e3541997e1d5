"""Tables of docs/reference/ that follow from the code.

`make reference` writes them into the pages, between markers; a test fails if
a page differs from the code.
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
    """Builds all tables, by page and name."""
    return {
        "settings.md": {
            name: write_struct(struct)
            for name, struct in SETTINGS_SECTIONS.items()
        },
        "configuration.md": {
            name: write_struct(struct, hidden=("name",))
            for name, struct in TEXT_SECTIONS.items()
        },
        "errors.md": {"kinds": write_errors()},
        "interface.md": {
            "headers": write_headers(),
            **{part.__name__: write_fields(part) for part in STATUS_PARTS},
        },
        "command.md": write_commands(),
    }


def write_rows(head: tuple[str, ...], rows) -> str:
    lines = [head, tuple("---" for _ in head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def read_attributes(struct: type) -> dict[str, str]:
    """Reads what a class's docstring says of its attributes."""
    doc = inspect.getdoc(struct) or ""
    _, _, block = doc.partition("Attributes:\n")
    entries = re.findall(
        r"^ {4}(\w+): (.+?)(?=^ {4}\w+: |\Z)", block, re.MULTILINE | re.DOTALL
    )
    return {name: " ".join(text.split()) for name, text in entries}


def describe_type(kind: object) -> str:
    if typing.get_origin(kind) is typing.Annotated:
        kind, *bounds = typing.get_args(kind)
        texts = [describe_bound(bound) for bound in bounds]
        return " ".join([describe_type(kind), *texts]).strip()
    if typing.get_origin(kind) is typing.Literal:
        return " or ".join(f"`{value}`" for value in typing.get_args(kind))
    if isinstance(kind, types.UnionType):
        parts = [p for p in typing.get_args(kind) if p is not types.NoneType]
        return " or ".join(map(describe_type, parts))
    if isinstance(kind, type) and issubclass(kind, configuration.ServiceKind):
        return " or ".join(f"`{member.value}`" for member in kind)
    if typing.get_origin(kind) is tuple:
        return "list, by commas"
    names = {
        str: "text",
        int: "whole number",
        float: "number",
        bool: "`yes` or `no`",
        settings.Address: "`IP:port`",
    }
    return names[kind]


def describe_bound(bound: msgspec.Meta) -> str:
    if bound.gt is not None:
        return f"above {bound.gt}"
    if bound.ge is not None:
        return f"of at least {bound.ge}"
    return "of letters, digits, `.`, `_`, `-`"


def describe_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    value = field.default
    if isinstance(value, bool):
        return "`yes`" if value else "`no`"
    return "none" if value in (None, "", ()) else f"`{value}`"


def write_struct(struct: type, hidden: tuple[str, ...] = ()) -> str:
    texts = read_attributes(struct)
    hints = typing.get_type_hints(struct, include_extras=True)
    rows = [
        (
            f"`{field.name}`",
            describe_type(hints[field.name]),
            describe_default(field),
            texts[field.name],
        )
        for field in msgspec.structs.fields(struct)
        if field.name not in hidden
    ]
    return write_rows(("key", "value", "default", "meaning"), rows)


def write_fields(struct: type) -> str:
    texts = read_attributes(struct)
    rows = [(f"`{name}`", text) for name, text in texts.items()]
    return write_rows(("field", "meaning"), rows)


def write_errors() -> str:
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
    return write_rows(head, rows)


def write_headers() -> str:
    rows = [
        (f"`{name}`", value, meaning)
        for name, value, meaning in (
            ("Authorization", "`Bearer KEY`", "The team's key. Required."),
            (
                request_parsing.TIMEOUT_HEADER,
                "seconds, above 0",
                "How long the caller waits, from arrival. "
                "Default and most: `[limits]` of the router's settings.",
            ),
            (
                request_parsing.IDEMPOTENT_HEADER,
                "`true` or `false`",
                "Whether the request may be run again. Default: the service's "
                "`idempotent`; else yes at engines, and by method at plain "
                "services.",
            ),
            (
                request_parsing.COST_HEADER,
                "a number, not below 0",
                "The caller's estimate, in cost units.",
            ),
            (
                request_parsing.REQUEST_ID_HEADER,
                "ASCII text",
                "The caller's name for the request; passed on, and in the "
                "logs of router and sidecar.",
            ),
            (
                parent_tokens.PARENT_HEADER,
                "as received",
                "For upstreams: sent back with the calls that they make on "
                "behalf of a request, which are accounted to its team and "
                "end with its time.",
            ),
        )
    ]
    return write_rows(("header", "value", "meaning"), rows)


def write_commands() -> dict[str, str]:
    parser = command._create_parser()
    (commands,) = (
        action
        for action in parser._actions
        if isinstance(action, argparse._SubParsersAction)
    )
    helps = {"sycamorefall": parser, **commands.choices}
    return {name: write_help(one) for name, one in helps.items()}


def write_help(parser: argparse.ArgumentParser) -> str:
    parser.formatter_class = lambda prog: argparse.RawDescriptionHelpFormatter(
        prog, width=80
    )
    return f"```text\n{parser.format_help().rstrip()}\n```"


def replace_tables(text: str, tables: dict[str, str]) -> str:
    """Puts tables between their markers on a page."""
    for name, table in tables.items():
        begin, end = f"<!-- table: {name} -->", "<!-- end -->"
        before, found, rest = text.partition(begin)
        _, closed, after = rest.partition(end)
        if not (found and closed):
            raise ValueError(f"the page lacks {begin} ... {end}")
        text = f"{before}{begin}\n{table}\n{end}{after}"
    return text


def main() -> None:
    """Writes the tables into the pages."""
    for page, tables in build_tables().items():
        path = PAGES / page
        path.write_text(replace_tables(path.read_text(), tables))


if __name__ == "__main__":
    main()
