"""Tells where in an INI text a fault lies."""

__all__ = ["locate_fault"]

import re

_PATH = re.compile(r" - at `\$\.(?P<section>\w+)(\.(?P<key>\w+))?`$")
_UNKNOWN = re.compile(r"unknown field `(?P<key>[^`]*)`")
_MISSING = re.compile(r"missing required field `(?P<key>[^`]*)`")


def locate_fault(text: str, fault: str) -> str:
    r"""Says in terms of an INI text what msgspec says in terms of structs.

    Args:
        text: The INI text.
        fault: Text of the `msgspec.ValidationError`.

    Returns:
        One line with the text's line, section and key, and what is wrong.

    Example:
        >>> locate_fault("[vm]\nsize = 3", "unknown field `size` - at `$.vm`")
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
    line = _find_line(text, section, key)
    return f"line {line}: {where}: {reason}"


def _bracket(section: str) -> str:
    return f"[{section}]" if section else ""


def _find_line(text: str, section: str, key: str) -> int:
    """Finds the line of a key in a section, or of the section's head."""
    current = ""
    found = 0
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith("[") and "]" in stripped:
            current = stripped[1 : stripped.index("]")]
            found = number if current == section and not key else found
        name = re.split("[=:]", stripped, maxsplit=1)[0].strip().lower()
        if current == section and key and name == key:
            found = number
    return found
