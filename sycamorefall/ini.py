"""Line numbers of INI texts, and where in one a fault lies."""

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
    """Line numbers of sections and options of an INI text.

    They are wanted only where a text is refused, so they are counted then;
    kept for all blocks they would take more memory than what these say.
    """

    __slots__ = ("_numbers", "_parts", "_text")

    def __init__(self, text: str):
        self._text = text
        self._numbers: dict[tuple[str, str], int] | None = None
        self._parts: list[tuple[int, LineIndex]] = []

    def add(self, other: "LineIndex", before: int) -> None:
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


def format_validation_error(text: str, fault: str) -> str:
    r"""Says in terms of an INI text what msgspec says in terms of structs.

    Args:
        text: The INI text.
        fault: Text of the `msgspec.ValidationError`.

    Returns:
        One line with the text's line, section and key, and what is wrong.

    Example:
        >>> error = "unknown field `size` - at `$.vm`"
        >>> format_validation_error("[vm]\nsize = 3", error)
        'line 2: [vm] size: unknown key'
    """
    path = _PATH.search(fault)
    reason = _PATH.sub("", fault)
    section = path["section"] if path else ""
    key = (path["key"] or "") if path else ""
    level = "key" if section else "section"
    if unknown := _UNKNOWN.search(fault):
        key, reason = unknown["key"], f"unknown {level}"
    elif missing := _MISSING.search(fault):
        name = missing["key"] if section else f"[{missing['key']}]"
        return " ".join(filter(None, [_bracket(section), "misses", name]))
    if not section:
        section, key = key, ""
    where = " ".join(filter(None, [_bracket(section), key]))
    line = LineIndex(text).find(section, key)
    return f"line {line}: {where}: {reason}"


def _bracket(section: str) -> str:
    return f"[{section}]" if section else ""
