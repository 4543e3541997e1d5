"""Asks running processes for their status."""

__all__ = ["fetch_status"]

import http.client

from sycamorefall import errors, settings
from sycamorefall.observation import snapshots as snapshots_module

TIMEOUT = 3.0
"""Seconds to wait for a process's answer."""

_PATH = "/status?histograms"


def fetch_status(address: settings.Address) -> tuple[bytes, object]:
    """Asks a process for its status, with whole histograms.

    Args:
        address: Its operators' address, or its data address on the same VM.

    Returns:
        The status as JSON on one line, and decoded.

    Raises:
        errors.SettingsRefused: It gives none.
    """
    connection = http.client.HTTPConnection(*address.pair, timeout=TIMEOUT)
    try:
        connection.request("GET", _PATH)
        answer = connection.getresponse()
        data = answer.read()
    except (OSError, http.client.HTTPException) as fault:
        raise errors.SettingsRefused(
            f"no status from {address}: {fault}"
        ) from fault
    finally:
        connection.close()
    if answer.status == 404:
        raise errors.SettingsRefused(
            f"no status from {address}: it is told at the operators' address "
            "only ([listen] operators), or without one on the same VM"
        )
    try:
        return data, snapshots_module.decode_snapshot(data)
    except errors.SettingsRefused as fault:
        raise errors.SettingsRefused(
            f"no status from {address}: {fault}"
        ) from fault
