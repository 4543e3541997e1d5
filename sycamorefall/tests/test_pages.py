"""Addresses and clients to which each page is served."""

import types

import pytest

from sycamorefall import errors, pages, settings

DATA = settings.Address("0.0.0.0", 7400)
CONTROL = settings.Address("0.0.0.0", 7401)
OPERATORS = settings.Address("10.0.0.1", 7409)
LOCAL, REMOTE = "127.0.0.1", "10.0.0.9"


class Call:
    """An HTTP call that stores the status of its response."""

    def __init__(self, path, remote):
        self.path, self.remote, self.query = path, remote, ""
        self.status = 0

    def respond(self, status, *_):
        self.status = status

    def fail(self, kind):
        self.status = errors.ANSWERS[kind].status


def request_page(path, remote, operators=None, for_operators=False, unready=()):
    shown = pages.Pages(
        listen=settings.ListenSettings(DATA, CONTROL, operators),
        list_unready_reasons=lambda: unready,
        build_status=lambda full_histograms: types.SimpleNamespace().__dict__,
        list_metrics=lambda: (),
    )
    call = Call(path, remote)
    assert pages.handle_page_call(shown, call, for_operators)
    return call.status


@pytest.mark.parametrize("path", ["/status", "/metrics"])
def test_operators_pages_are_not_served_to_callers(path):
    """Callers must not get the names of teams and VMs."""
    assert request_page(path, REMOTE) == 404
    assert request_page(path, LOCAL) == 200
    assert request_page(path, LOCAL, OPERATORS) == 404
    assert request_page(path, REMOTE, OPERATORS, for_operators=True) == 200


def test_balancer_pages_are_served_at_all_addresses():
    assert request_page("/live", REMOTE) == 200
    assert request_page("/ready", REMOTE, OPERATORS) == 200
    assert request_page("/ready", REMOTE, unready=("stopping",)) == 503
