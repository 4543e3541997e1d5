"""INI text with line numbers, for faults that name their line."""

__all__ = ["Lines", "check_unicode", "read_ini"]

import configparser
import re

from sycamorefall import errors

_SECTION = re.compile(r"^\s*\[(?P<section>[^]]*)\]")
_OPTION = re.compile(r"^(?P<option>[^\s=:#;][^=:]*?)\s*[=:]")


class Lines:
    """Line numbers of sections and options of an INI text.

    They are wanted only where a text is refused, so they are counted then;
    kept for all blocks they would take more memory than what these say.
    """

    __slots__ = ("_numbers", "_parts", "_text")

    def __init__(self, text: str):
        self._text = text
        self._numbers: dict[tuple[str, str], int] | None = None
        self._parts: list[tuple[int, Lines]] = []

    def add(self, other: "Lines", before: int) -> None:
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


def read_ini(text: str) -> configparser.ConfigParser:
    """Reads sections and options.

    Args:
        text: INI text.

    Returns:
        The sections.

    Raises:
        errors.ConfigurationRefused: The text is not INI.
    """
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


def check_unicode(text: str) -> None:
    """Refuses half of a surrogate pair, which no codec down the line takes."""
    try:
        text.encode("utf-8")
    except UnicodeEncodeError as fault:
        line = text.count("\n", 0, fault.start) + 1
        raise errors.ConfigurationRefused(line, "not Unicode") from fault
