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
    except configparser.MissingSectionHeaderError as error:
        reason = "text before the first [section]"
        raise errors.ConfigurationRefused(error.lineno, reason) from error
    except configparser.ParsingError as error:
        line = error.errors[0][0]
        raise errors.ConfigurationRefused(line, "not an INI line") from error
    except configparser.DuplicateSectionError as error:
        reason = f"[{error.section}] is listed twice"
        raise errors.ConfigurationRefused(error.lineno, reason) from error
    except configparser.DuplicateOptionError as error:
        reason = f"[{error.section}]: {error.option} is given twice"
        raise errors.ConfigurationRefused(error.lineno, reason) from error
    except configparser.Error as error:
        line = getattr(error, "lineno", None) or 0
        reason = " ".join(str(error).split())
        raise errors.ConfigurationRefused(line, reason) from error
    return parser


def check_unicode(text: str) -> None:
    """Refuses a text with a lone surrogate, which UTF-8 can't encode.

    Raises:
        errors.ConfigurationRefused: The text holds a lone surrogate.
    """
    try:
        text.encode("utf-8")
    except UnicodeEncodeError as error:
        line = text.count("\n", 0, error.start) + 1
        raise errors.ConfigurationRefused(line, "not Unicode") from error
