"""Runs a process of the system on the users' platform."""

__all__ = ["main"]

import os
import sys

from sycamorefall import errors, observation, settings
from sycamorefall.direct import daemon
from sycamorefall.platform import headers, store

SETTINGS_VARIABLE = "SYCAMOREFALL_SETTINGS"
"""Environment variable with the path of the settings file."""

EXIT_REFUSED = 2
"""Exit status when the settings can't be used."""


def main() -> int:
    """Runs the router; returns its exit status."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        config = settings.read_settings(path, settings.DirectSettings)
        daemon.run_direct_router(
            config,
            headers.create_dialect(),
            lambda running: store.StoreReader(config.platform.address, running),
            lambda: _reload(path),
        )
    except errors.SycamorefallError as fault:
        print(f"sycamorefall: {fault}", file=sys.stderr)
        return EXIT_REFUSED
    return 0


def _reload(path: str) -> None:
    """Checks a settings file that has changed.

    Its addresses are those of the running process, so nothing of it comes
    into force before a restart; a bad file is told at once.
    """
    try:
        settings.read_settings(path, settings.DirectSettings)
    except errors.SettingsRefused as fault:
        observation.write_record(
            observation.Level.WARNING, "settings.refused", reason=str(fault)
        )
    else:
        observation.write_record(observation.Level.INFO, "settings.checked")


if __name__ == "__main__":
    sys.exit(main())
