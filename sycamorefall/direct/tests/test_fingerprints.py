"""Tests which requests share a fingerprint."""

import dataclasses

from hypothesis import given, strategies
import pytest

from sycamorefall.direct import fingerprints
from sycamorefall.direct import state as state_module

REQUEST = state_module.IncomingRequest(
    "site.example",
    "/draft/x",
    "key-mill",
    1.5,
    method="POST",
    target="/draft/x?y=1",
    body=b"body",
)


def compute(team="mill", **changes):
    changed = dataclasses.replace(REQUEST, **changes)
    return fingerprints.compute_fingerprint(changed, team)


def test_repeated_request_has_the_same_fingerprint():
    # Guards against treating a repeated request as a different one when its
    # key, remaining time or host capitalization differs.
    repeated = compute(key="other-key", time_left=0.3, host="SITE.example")
    assert repeated == compute()


@pytest.mark.parametrize(
    "changes",
    [
        {"method": "PUT"},
        {"host": "other.example"},
        {"target": "/draft/x?y=2"},
        {"body": b"bodY"},
        {"body": b""},
        {"team": "trader"},
    ],
)
def test_different_request_has_a_different_fingerprint(changes):
    # Guards against mistaking a harmless request for a harmful one.
    assert compute(**changes) != compute()


@given(strategies.lists(strategies.text(max_size=4), min_size=4, max_size=4))
def test_field_boundaries_affect_the_fingerprint(fields):
    # Guards against a caller that shifts bytes between adjacent fields to
    # produce the fingerprint of another team's request.
    method, host, target, team = fields
    moved = compute(
        team, method=method + host[:1], host=host[1:], target=target
    )
    plain = compute(team, method=method, host=host, target=target)
    assert (moved == plain) == (not host)


def test_host_with_undecodable_bytes_has_a_fingerprint():
    # Guards against an encoding error on header bytes that are not valid UTF-8.
    assert compute(host="h\udcff") != compute(host="h")
