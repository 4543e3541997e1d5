"""Plays in which a sidecar falls silent while it has requests."""

import pytest

from sycamorefall.dispatch.tests import silence, watches

DRAWS = 120


@pytest.fixture(scope="module")
def plays():
    played = {seed: silence.Play(seed) for seed in range(DRAWS)}
    for play in played.values():
        play.play()
    return played


def test_silence_ends_no_answer_that_could_still_be_given(plays):
    # Guards against an attempt that is let go for its sidecar's silence while
    # no other sidecar takes its request, so that the caller gets an error.
    ended = [
        (seed, request, kind, round(silent_for, 2))
        for seed, play in plays.items()
        for request, kind, silent_for in play.ended_early
        if silent_for < watches.GONE_AFTER
    ]
    assert not ended


def test_sidecar_that_is_gone_holds_no_request(plays):
    # Guards against a request that waits for a sidecar that is never heard
    # again although another one would run it, or nothing can run it any more.
    held = [
        (seed, *entry)
        for seed, play in plays.items()
        for entry in play.waited_longer
    ]
    assert not held
    assert any(play.let_go_after for play in plays.values())
