"""HTTP client for the status of running processes."""

__all__ = ["fetch_status"]

import http.client

from sycamorefall import errors, settings
from sycamorefall.observation import snapshots as snapshots_module

TIMEOUT = 3.0
"""Socket timeout of the request in seconds."""

_PATH = "/status?histograms"


def fetch_status(address: settings.Address) -> tuple[bytes, object]:
    """Requests the status of a process, including its full histograms.

    Args:
        address: Operators' address of the process, or its data address if it
            has no operators' address and runs on this VM.

    Returns:
        The status as one line of JSON, and the decoded status.

    Raises:
        errors.SettingsRefused: The process can't be reached or its response
            is not a status.
    """
    connection = http.client.HTTPConnection(*address.pair, timeout=TIMEOUT)
    try:
        connection.request("GET", _PATH)
        response = connection.getresponse()
        data = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise errors.SettingsRefused(
            f"no status from {address}: {error}"
        ) from error
    finally:
        connection.close()
    if response.status == 404:
        raise errors.SettingsRefused(
            f"no status from {address}: a process serves its status only at "
            "its operators' address ([listen] operators) or, without one, at "
            "its data address to clients on the same VM"
        )
    try:
        return data, snapshots_module.decode_snapshot(data)
    except errors.SettingsRefused as error:
        raise errors.SettingsRefused(
            f"no status from {address}: {error}"
        ) from error
