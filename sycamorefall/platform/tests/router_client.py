"""Requests to a router that runs, and the configuration it runs by."""

import itertools
import re

from standins import site as site_module

PROMPT = {"Token-Usage": "1100,5", "Prompt-Prefix": "aa:800,bb:300"}
_numbers = itertools.count(1)


def store_configuration(site, version, keys=None, routes=None):
    site.store.put(
        "op/config",
        site_module.build_configuration(
            version,
            routes or list(site_module.STANDARD_ROUTES),
            keys or {"mill": ["k-mill"], "trader": ["k-trader"]},
        ),
    )


def send_request(
    router, path, key="k-mill", prompt=False, left=3000, body=b"", **more
):
    """Sends a request; gives its id, status, headers and body."""
    request = f"{next(_numbers):016x}"
    headers = {"Attempt-Id": request, "Request-Deadline-Ms": str(left)}
    headers |= {"Credential": key} if key else {}
    headers |= (PROMPT if prompt else {}) | more
    status, found, answer = site_module.call(router, path, headers, body)
    return request, status, found, answer


def parse_event_data(answer):
    return re.findall(rb"data: (\S+)", answer)
