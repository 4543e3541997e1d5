"""Line numbers of INI texts, for error messages."""

__all__ = [
    "LineIndex",
    "format_validation_error",
]

import re

_PATH = re.compile(r" - at `\$\.(?P<section>\w+)(\.(?P<key>\w+))?`$")
_UNKNOWN = re.compile(r"unknown field `(?P<key>[^`]*)`")
_SECTION = re.compile(r"^\s*\[(?P<section>[^]]*)\]")
_OPTION = re.compile(r"^(?P<option>[^\s=:#;][^=:]*?)\s*[=:]")
_MISSING = re.compile(r"missing required field `(?P<key>[^`]*)`")


class LineIndex:
    """Line numbers of the sections and options of an INI text.

    Lines are only counted at the first lookup, since the numbers are needed
    only if a text is refused. Stored for all blocks, they would take more
    memory than the parsed content of the blocks.
    """

    __slots__ = ("_numbers", "_parts", "_text")

    def __init__(self, text: str):
        self._text = text
        self._numbers: dict[tuple[str, str], int] | None = None
        self._parts: list[tuple[int, LineIndex]] = []

    def add(self, other: "LineIndex", lines_before: int) -> None:
        """Adds the index of a block that has `lines_before` lines before it."""
        self._parts.append((lines_before, other))

    def find(self, section: str, option: str = "") -> int:
        """Returns the line of an option, else of its section, else 0."""
        for lines_before, lines in self._parts:
            if line := lines.find(section, option):
                return lines_before + line
        if self._numbers is None:
            self._numbers = _number_lines(self._text)
        section_line = self._numbers.get((section, ""), 0)
        return self._numbers.get((section, option), section_line)


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


def format_validation_error(text: str, message: str) -> str:
    r"""Converts an error message of msgspec to the terms of an INI text.

    Args:
        text: The INI text.
        message: Message of the `msgspec.ValidationError`, which names structs
            and fields.

    Returns:
        One line with line number, section, key and reason.

    Example:
        >>> error = "unknown field `size` - at `$.vm`"
        >>> format_validation_error("[vm]\nsize = 3", error)
        'line 2: [vm] size: unknown key'
    """
    path = _PATH.search(message)
    reason = _PATH.sub("", message)
    section = path["section"] if path else ""
    key = (path["key"] or "") if path else ""
    level = "key" if section else "section"
    if unknown := _UNKNOWN.search(message):
        key, reason = unknown["key"], f"unknown {level}"
    elif missing := _MISSING.search(message):
        name = missing["key"] if section else f"[{missing['key']}]"
        return " ".join(
            filter(None, [_format_section(section), "misses", name])
        )
    if not section:
        section, key = key, ""
    where = " ".join(filter(None, [_format_section(section), key]))
    line = LineIndex(text).find(section, key)
    return f"line {line}: {where}: {reason}"


def _format_section(section: str) -> str:
    return f"[{section}]" if section else ""
