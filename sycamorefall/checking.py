"""Validates configuration and settings files for `sycamorefall check`."""

__all__ = ["check_file", "log_settings_check"]

import configparser
import pathlib

from returns import result

from sycamorefall import configuration, errors, observation, settings

_SETTINGS_SECTIONS = {
    "vm",
    "listen",
    "platform",
    "peers",
    "upstream",
    "security",
    "log",
}
"""Sections by which a settings file is recognized; `[limits]` is in both."""


def check_file(path: str) -> str:
    """Validates a settings file or an operators' configuration text.

    The sections of the file determine which of them it is.

    Args:
        path: Path of the file.

    Returns:
        One line that describes the valid file.

    Raises:
        errors.SettingsRefused: The file is not valid; the message is one line
            with the place and the reason.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsRefused(f"{path}: {error}") from error
    kind = _detect_settings_type(text)
    if kind is None:
        return f"{path}: {_check_configuration(path, text)}"
    settings.read_settings(path, kind)
    role = "sidecar" if kind is settings.SidecarSettings else "router"
    return f"{path}: valid settings of a {role}"


def log_settings_check(path: str, kind: type) -> None:
    """Reads the settings of a running process and logs whether they are valid.

    Changed settings take effect only at the next start, because they include
    the addresses that the running process listens on. The check reports an
    invalid file before the restart.

    Args:
        path: Path of the settings file.
        kind: Type of the settings; see `settings.read_settings`.
    """
    try:
        settings.read_settings(path, kind)
    except errors.SettingsRefused as error:
        observation.write_record(
            observation.Level.WARNING, "settings.refused", reason=str(error)
        )
    else:
        observation.write_record(observation.Level.INFO, "settings.checked")


def _detect_settings_type(text: str) -> type | None:
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
            return _format_summary(valid)
        case result.Failure(error):
            raise errors.SettingsRefused(f"{path}: {error}")


def _format_summary(valid: configuration.Configuration) -> str:
    counts = f"{len(valid.services)} services, {len(valid.teams)} teams"
    notes = [
        note
        for note, applies in {
            "without a service, every request is refused": not valid.services,
            "without a team's key, every request is refused": (
                not valid.team_by_key
            ),
        }.items()
        if applies
    ]
    return "; ".join([f"valid configuration, {counts}", *notes])
