"""Publishes a text or a list of VMs at the platform stand-in.

In a real fleet the operators' own tools do this; the project's processes
only read what the platform publishes.
"""

import argparse
import json
import pathlib

from standins import fleet


def publish_file(port: int, path: pathlib.Path) -> str:
    """Publishes a file as the next revision.

    Args:
        port: The platform's port on loopback.
        path: An operators' text, or with the ending `.json` a list of VMs.

    Returns:
        One line that says what was published.
    """
    is_list = path.suffix == ".json"
    known = fleet.call(port, "/v1/vms" if is_list else "/v1/config")
    body = {"revision": known["revision"] + 1}
    if is_list:
        fleet.call(
            port, "/test/vms", body | {"vms": json.loads(path.read_text())}
        )
    else:
        fleet.call(port, "/test/config", body | {"text": path.read_text()})
    what = "list of VMs" if is_list else "text"
    return f"{path}: {what} published as revision {body['revision']}"


def main() -> None:
    """Runs the command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("port", type=int)
    parser.add_argument("files", type=pathlib.Path, nargs="+")
    options = parser.parse_args()
    for path in options.files:
        print(publish_file(options.port, path))


if __name__ == "__main__":
    main()
