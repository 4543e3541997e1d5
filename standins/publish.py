"""Publishes configuration texts and VM lists at the fake platform.

In a production fleet the operators' own tools do this; routers and sidecars
only read from the platform.
"""

import argparse
import json
import pathlib

from standins import fleet


def publish_file(port: int, path: pathlib.Path) -> str:
    """Publishes a file as the next revision.

    Args:
        port: The platform's port on loopback.
        path: File with a configuration text, or a `.json` file with the
            entries of a VM list.

    Returns:
        A line that tells the kind and the revision of what was published.
    """
    is_list = path.suffix == ".json"
    current = fleet.call(port, "/v1/vms" if is_list else "/v1/config")
    body = {"revision": current["revision"] + 1}
    if is_list:
        fleet.call(
            port, "/test/vms", body | {"vms": json.loads(path.read_text())}
        )
    else:
        fleet.call(port, "/test/config", body | {"text": path.read_text()})
    kind = "list of VMs" if is_list else "text"
    return f"{path}: {kind} published as revision {body['revision']}"


def main() -> None:
    """Publishes the files of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("port", type=int)
    parser.add_argument("files", type=pathlib.Path, nargs="+")
    options = parser.parse_args()
    for path in options.files:
        print(publish_file(options.port, path))


if __name__ == "__main__":
    main()
