"""Polls of the load report, and the gate that enforces the limit."""

import pytest

from sycamorefall import admission, settings, transport
from sycamorefall.sidecar import gate as gate_module
from sycamorefall.sidecar import load

ADDRESS = settings.parse_address("127.0.0.1:9")


class FakeClient:
    def __init__(self):
        self.listeners = []
        self.aborted = 0

    def send(self, request, listener):
        assert (request.method, request.path) == ("GET", "/v1/load")
        self.listeners.append(listener)
        return object()

    def abort(self, exchange):
        self.aborted += 1


def answer(listener, body, status=200):
    listener.on_head(status, [])
    listener.on_data(body)
    listener.on_end()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b"\xff\xfe",
        b'{"running": -1}',
        b'{"running": "8"}',
        b'{"running": 1e300}',
        b'{"queued": 3}',
        b'{"running": 99999999999}',
        b'{"running": 8}' + b" " * (1 << 15),
    ],
)
def test_invalid_load_report_is_not_passed_on(body):
    client, reports = FakeClient(), []
    poller = load.LoadPoller(client, ADDRESS, reports.append)
    load.poll_load(poller, 1.0)
    answer(client.listeners[0], body)
    load.poll_load(poller, 2.0)
    client.listeners[1].on_failure(transport.SendStage.NOT_SENT)
    load.poll_load(poller, 3.0)
    answer(client.listeners[2], b'{"running": 8}', status=500)
    assert reports == []
    assert poller.failures == 3
    load.poll_load(poller, 4.0)
    answer(client.listeners[3], b'{"running": 8, "more": 1}')
    assert reports == [admission.LoadReport(8, 0, 0)]


def test_upstream_that_never_responds_is_polled_again():
    """An upstream accepts connections and never responds.

    Polls must neither pile up nor cease for good.
    """
    client = FakeClient()
    poller = load.LoadPoller(client, ADDRESS, lambda report: None)
    for step in range(40):
        load.poll_load(poller, step * 0.5)
    assert client.aborted == len(client.listeners) - 1
    assert len(client.listeners) == 10


def test_gate_never_starts_more_runs_than_the_cap():
    limit = admission.ConcurrencyLimit(cap=2)
    gate = gate_module.ConcurrencyGate(limit)
    started = []
    for name in "abcd":
        gate_module.submit_run(
            gate, 1.0, name, lambda name=name: started.append(name)
        )
    assert started == ["a", "b"]
    gate_module.release_run(gate, 2.0, "c", answered=False, is_engine=True)
    gate_module.release_run(gate, 2.0, "a", answered=True, is_engine=True)
    assert started == ["a", "b", "d"]
    gate_module.release_run(gate, 2.0, "a", answered=True, is_engine=True)
    assert limit.in_flight.current == 2


def test_fast_failures_are_not_taken_for_low_latency():
    limit = admission.ConcurrencyLimit(cap=8)
    admission.start_at_minimum(limit)
    gate = gate_module.ConcurrencyGate(limit)
    for index in range(200):
        gate_module.submit_run(gate, 1.0, f"{index}", lambda: None)
        gate_module.release_run(
            gate, 1.0, f"{index}", answered=False, is_engine=False
        )
    assert (limit.baseline, limit.capacity) == (0.0, 1.0)
