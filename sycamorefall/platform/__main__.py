"""Runs a router that sends directly to the upstreams of the platform."""

__all__ = ["main"]

import os
import sys

from sycamorefall import checking, errors, settings
from sycamorefall.direct import daemon
from sycamorefall.platform import headers, store

SETTINGS_VARIABLE = "SYCAMOREFALL_SETTINGS"
"""Environment variable with the path of the settings file."""

EXIT_REFUSED = 2
"""Exit status when the router can't start, e.g. with invalid settings."""


def main() -> int:
    """Runs the router until it is stopped; returns the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        config = settings.read_settings(path, settings.DirectSettings)
        daemon.run_direct_router(
            config,
            headers.create_dialect(),
            lambda running: store.StoreReader(config.platform.address, running),
            lambda: checking.log_settings_check(path, settings.DirectSettings),
        )
    except errors.SycamorefallError as error:
        print(f"sycamorefall: {error}", file=sys.stderr)
        return EXIT_REFUSED
    return 0


if __name__ == "__main__":
    sys.exit(main())
