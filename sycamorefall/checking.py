"""Checks the files that operators write, before they are put to use."""

__all__ = ["check_file"]

import configparser
import pathlib

from returns import result

from sycamorefall import configuration, errors, settings

_SETTINGS_SECTIONS = {
    "vm",
    "listen",
    "platform",
    "peers",
    "upstream",
    "security",
    "log",
}
"""Sections that only settings files have."""


def check_file(path: str) -> str:
    """Checks a settings file or an operators' text, told by its sections.

    Args:
        path: The file.

    Returns:
        One line that says what it is.

    Raises:
        errors.SettingsRefused: It can't be used; one line says where and why.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as fault:
        raise errors.SettingsRefused(f"{path}: {fault}") from fault
    kind = _guess_settings_kind(text)
    if kind is None:
        return f"{path}: {_check_configuration(path, text)}"
    settings.read_settings(path, kind)
    role = "sidecar" if kind is settings.SidecarSettings else "router"
    return f"{path}: valid settings of a {role}"


def _guess_settings_kind(text: str) -> type | None:
    parser = configparser.ConfigParser(interpolation=None, strict=False)
    try:
        parser.read_string(text)
    except configparser.Error:
        return None
    sections = set(parser.sections())
    if not sections & _SETTINGS_SECTIONS:
        return None
    if "upstream" in sections:
        return settings.SidecarSettings
    return settings.RouterSettings


def _check_configuration(path: str, text: str) -> str:
    match configuration.parse_configuration(text):
        case result.Success(valid):
            return _describe(valid)
        case result.Failure(fault):
            raise errors.SettingsRefused(f"{path}: {fault}")


def _describe(valid: configuration.Configuration) -> str:
    counts = f"{len(valid.services)} services, {len(valid.teams)} teams"
    notes = [
        note
        for note, holds in {
            "without a service, every request is refused": not valid.services,
            "without a team's key, every request is refused": (
                not valid.team_by_key
            ),
        }.items()
        if holds
    ]
    return "; ".join([f"valid configuration, {counts}", *notes])
