"""Reads INI text: runs of whole sections, options, line numbers."""

__all__ = ["Lines", "read_ini", "split_runs"]

import configparser
import re
import zlib

from sycamorefall import errors

MEAN_SECTIONS = 32
"""Sections in a run, on average."""

MOST_SECTIONS = 128
"""Sections after which a run ends in any case."""

# At the beginning of a line this is a header whatever comes before it: INI
# continues a value only in lines that are indented.
_HEADER = re.compile(r"^\[.+\]", re.MULTILINE)
_SECTION = re.compile(r"^\s*\[(?P<section>[^]]*)\]")
_OPTION = re.compile(r"^(?P<option>[^\s=:#;][^=:]*?)\s*[=:]")


def split_runs(text: str) -> list[str]:
    r"""Cuts a text at the headers of some sections.

    Where a run ends depends on the sections' headers alone, so a change of
    the text changes the runs that it touches and no others.

    Args:
        text: The INI text.

    Returns:
        The runs; joined, they are the text.

    Example:
        >>> split_runs("[team a]\nweight = 1\n")
        ['[team a]\nweight = 1\n']
    """
    runs: list[str] = []
    begin = sections = 0
    for header in _HEADER.finditer(text):
        ends = zlib.crc32(header[0].encode("utf-8", "replace"))
        sections += 1
        if ends % MEAN_SECTIONS == 0 or sections > MOST_SECTIONS:
            runs.append(text[begin : header.start()])
            begin, sections = header.start(), 1
    return [run for run in (*runs, text[begin:]) if run]


class Lines:
    """Line numbers of sections and options of an INI text.

    They are wanted only where a text is refused, so they are counted then.
    """

    __slots__ = ("_numbers", "_text")

    def __init__(self, text: str):
        self._text = text
        self._numbers: dict[tuple[str, str], int] | None = None

    def find(self, section: str, option: str = "") -> int:
        """Returns the line of an option, else of its section, else 0."""
        if self._numbers is None:
            self._numbers = _number_lines(self._text)
        whole = self._numbers.get((section, ""), 0)
        return self._numbers.get((section, option), whole)


def _number_lines(text: str) -> dict[tuple[str, str], int]:
    numbers: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        if header := _SECTION.match(line):
            section = header["section"]
            numbers.setdefault((section, ""), number)
        elif option := _OPTION.match(line):
            numbers.setdefault((section, option["option"].lower()), number)
    return numbers


def read_ini(text: str) -> configparser.ConfigParser:
    """Reads INI text.

    Args:
        text: The text.

    Returns:
        Its sections and options.

    Raises:
        errors.ConfigurationRefused: It is no INI text.
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
