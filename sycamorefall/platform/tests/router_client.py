"""Sends requests to a router and stores its configuration."""

import itertools
import re
import urllib.request

from standins import site as site_module

PROMPT = {"Token-Usage": "1100,5", "Prompt-Prefix": "aa:800,bb:300"}

LONG_STARTED = "[bounds]\nretry_window = 0.01\nretry_extra = 100\n"
"""Settings with which a router has run for a window of retries when it is
ready. A router that has run for less sends few of them."""

_request_numbers = itertools.count(1)


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
    router,
    path,
    key="k-mill",
    prompt=False,
    time_left_ms=3000,
    body=b"",
    **extra_headers,
):
    """Sends a request; returns its id and the response's status, headers, body.

    The names of the response's headers are in lower case.
    """
    request = f"{next(_request_numbers):016x}"
    headers = {"Attempt-Id": request, "Request-Deadline-Ms": str(time_left_ms)}
    headers |= {"Credential": key} if key else {}
    headers |= (PROMPT if prompt else {}) | extra_headers
    status, response_headers, response_body = site_module.call(
        router, path, headers, body
    )
    return request, status, response_headers, response_body


def parse_event_data(response_body):
    return re.findall(rb"data: (\S+)", response_body)


def read_metric(router, name):
    """Reads a metric from a router's page, by name and labels."""
    url = f"http://127.0.0.1:{router.operators}/metrics"
    with urllib.request.urlopen(url, timeout=2) as response:
        text = response.read().decode()
    return float(
        re.search(rf"^sycamorefall_{re.escape(name)} (\S+)$", text, re.M)[1]
    )
