"""Reads a configuration text as INI and reports errors with line numbers."""

__all__ = ["check_unicode", "read_ini"]

import configparser

from sycamorefall import errors


def read_ini(text: str) -> configparser.ConfigParser:
    """Reads the sections and options of a text.

    Args:
        text: INI text.

    Returns:
        A parser that holds the sections.

    Raises:
        errors.ConfigurationRefused: The text is not valid INI.
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
    """Refuses a text with a lone surrogate, which UTF-8 can't encode.

    Raises:
        errors.ConfigurationRefused: The text holds a lone surrogate.
    """
    try:
        text.encode("utf-8")
    except UnicodeEncodeError as fault:
        line = text.count("\n", 0, fault.start) + 1
        raise errors.ConfigurationRefused(line, "not valid Unicode") from fault
