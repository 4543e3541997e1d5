"""Parts of prompts that crash upstreams, and sound requests beside them."""

import dataclasses

from hypothesis import given, strategies
import pytest

from sycamorefall import errors
from sycamorefall.direct import (
    core,
    crashes,
    fingerprints,
    outcomes,
    prompts,
    quarantine,
    suspects,
    trials,
    verdicts,
)
from sycamorefall.direct.outcomes import AttemptEnd
from sycamorefall.direct.tests import fakes
from sycamorefall.transport import Reachability

LISTING = [
    fakes.create_upstream_entry(f"e{number}", port=number)
    for number in range(1, 10)
]

FIRST, DEAD = ("f0", 400), ("dead", 200)


@pytest.fixture
def state():
    return fakes.create_state(listing=LISTING)


def submit_prompt(state, now, number, *parts, team="mill"):
    """Submits a request of its own; returns its number and its effect."""
    path = f"/draft/{number}"
    request = dataclasses.replace(
        fakes.create_request("draft", team, parts=parts),
        path=path,
        target=path,
    )
    core.record_proof(state, now, now)
    request_number, pending = core.handle_request(state, now, request)
    return request_number, pending[0] if pending else None


def crash(state, now, number):
    """Ends an attempt by the crash of its upstream, which starts again.

    Returns:
        The effects.
    """
    name = state.requests[number].attempt.upstream
    (check,) = crashes.record_disconnect(state, now, number)
    done = outcomes.end_attempt(state, now, number, AttemptEnd.BROKEN)
    done += crashes.handle_check_result(state, now, check, Reachability.REFUSED)
    listed = {
        one.listed.name: one.listed for one in state.table.by_name.values()
    }
    crashed = listed.pop(name)
    restarted = dataclasses.replace(crashed, start_time=crashed.start_time + 1)
    core.apply_listing(state, now, [*listed.values(), restarted])
    return done


def crash_times(state, times, *parts, start=0.0):
    for count in range(times):
        now = start + count
        number, sent = submit_prompt(state, now, f"x{now}", *parts)
        assert sent.upstream
        crash(state, now + 0.1, number)


def answer(state, now, *parts):
    """Lets an upstream answer a request of its own."""
    number, sent = submit_prompt(state, now, f"a{now}", *parts)
    assert sent.upstream
    outcomes.record_response(state, now + 0.1, number, first=True)
    outcomes.end_attempt(state, now + 0.2, number, AttemptEnd.COMPLETE)


def list_quarantined_keys(state, *keys):
    known = state.quarantine.quarantined
    return [
        key
        for key in keys
        if fingerprints.compute_part_fingerprint(key) in known
    ]


def test_part_of_three_crashed_requests_is_refused_with_its_name(state):
    # Guards against requests, no two alike, that crash one upstream after the
    # other by a part that they share.
    answer(state, 0.0, FIRST)
    crash_times(state, 3, FIRST, DEAD, start=5.0)
    _, refused = submit_prompt(state, 9.0, "new", ("f9", 10), DEAD, ("z", 1))
    assert refused.kind is errors.ErrorKind.QUARANTINED
    assert refused.retry_after is None
    assert refused.fingerprint == fingerprints.compute_part_fingerprint("dead")
    assert submit_prompt(state, 9.0, "new", DEAD, team="trader")[1].kind
    assert submit_prompt(state, 9.0, "sound", ("other", 100))[1].upstream


def test_part_that_is_answered_beside_crashes_is_not_refused(state):
    # Guards against refusing what all requests have in common, as a popular
    # first part is present at each crash.
    for count in range(5):
        now = float(count)
        sound, _ = submit_prompt(state, now, f"s{count}", FIRST)
        outcomes.record_response(state, now + 0.1, sound, first=True)
        number, sent = submit_prompt(state, now + 0.2, f"x{count}", FIRST, DEAD)
        if count < 3:
            crash(state, now + 0.3, number)
        outcomes.record_response(state, now + 0.5, sound, first=True)
        outcomes.end_attempt(state, now + 0.6, sound, AttemptEnd.COMPLETE)
    assert sent.kind is errors.ErrorKind.QUARANTINED
    assert submit_prompt(state, 6.0, "sound", FIRST)[1].upstream


def test_part_of_one_request_that_comes_again_is_not_refused(state):
    # Guards against refusing a part because one request with it crashes
    # upstreams by what is its own.
    for count in range(3):
        number, _ = submit_prompt(state, float(count), "same", FIRST)
        crash(state, count + 0.1, number)
    assert submit_prompt(state, 4.0, "same", FIRST)[1].kind
    assert submit_prompt(state, 4.0, "sound", FIRST)[1].upstream


def test_parts_of_responses_that_go_on_are_no_suspects(state):
    # Guards against refusing parts of long streams that were cut by crashes of
    # other causes.
    for count in range(4):
        now = 10.0 * count
        number, _ = submit_prompt(state, now, f"x{count}", FIRST)
        outcomes.record_response(state, now + 0.1, number, first=True)
        outcomes.record_response(state, now + 0.2, number, first=True)
        crash(state, now + 0.2 + suspects.PROOF_DELAY, number)
    known = fingerprints.compute_part_fingerprint("f0")
    assert quarantine.count_crashes(state.quarantine, known) == 0
    # Events that arrive just before the crash prove nothing.
    number, _ = submit_prompt(state, 50.0, "new", FIRST)
    outcomes.record_response(state, 50.1, number, first=True)
    crash(state, 50.2, number)
    assert quarantine.count_crashes(state.quarantine, known) == 1


def test_success_just_before_a_crash_clears_its_parts(state):
    # Guards against refusing a popular part after several crashes within a
    # second, which leave no time for a success in between.
    fingerprint = fingerprints.compute_part_fingerprint("f0")
    sound, _ = submit_prompt(state, 0.0, "s", FIRST)
    outcomes.record_response(state, 0.1, sound, first=True)
    outcomes.end_attempt(state, 0.2, sound, AttemptEnd.COMPLETE)
    crash_times(state, 1, FIRST, start=0.3)
    assert quarantine.count_crashes(state.quarantine, fingerprint) == 0
    crash_times(state, 1, FIRST, start=0.3 + quarantine.PROOF_LEAD)
    assert quarantine.count_crashes(state.quarantine, fingerprint) == 1


def test_response_without_an_event_proves_nothing(state):
    # Guards against clearing a part by a response in which nothing was written.
    number, _ = submit_prompt(state, 0.0, "s", DEAD)
    outcomes.end_attempt(state, 0.2, number, AttemptEnd.COMPLETE)
    crash_times(state, 3, DEAD, start=0.3)
    assert submit_prompt(state, 4.0, "new", DEAD)[1].kind


def test_waiting_request_is_refused_when_its_part_is_quarantined():
    # Guards against a request that waits for an upstream and crashes it after
    # the part is known.
    state = fakes.create_state(listing=[])
    number, sent = submit_prompt(state, 0.0, "w", FIRST, DEAD)
    assert sent is None
    part = fingerprints.compute_part_fingerprint("dead")
    evidence = [
        quarantine.Evidence(
            quarantine.Crash(name, 0), part, False, 0.0, frozenset({name})
        )
        for name in (b"a", b"b", b"c")
    ]
    _, added = quarantine.add_evidence(state.quarantine, 0.0, evidence)
    done = crashes.report_quarantined(state, 0.1, added)
    assert fakes.list_error_kinds(done) == [errors.ErrorKind.QUARANTINED]


def test_suspect_with_a_suspected_part_is_not_retried(state):
    # Guards against a second crash by the router's own retry of a request whose
    # part was present at a crash elsewhere.
    crash_times(state, 1, DEAD)
    request = fakes.create_request("answer", parts=(DEAD,))
    number, _ = core.handle_request(state, 1.0, request)
    assert not fakes.list_sends(crash(state, 1.1, number))


def test_last_part_and_team_are_no_suspects(state):
    # Guards against refusing a session or a caller for a part of its prompts.
    crash_times(state, 3, DEAD)
    known = state.quarantine.quarantined
    assert known == {fingerprints.compute_part_fingerprint("dead")}
    own = fingerprints.compute_part_fingerprint("own")
    assert own not in state.quarantine.suspects


@given(
    strategies.lists(
        strategies.tuples(strategies.text(max_size=40), strategies.integers()),
        max_size=100,
    )
)
def test_part_fingerprints_depend_on_keys_only(parts):
    # Guards against a part that isn't recognized in another order, with another
    # count of tokens or repeated, and against prompts with very many parts.
    prompt = prompts.Prompt(1, 1, (*parts, ("own", 1)))
    known = fingerprints.list_part_fingerprints(prompt)
    assert len(set(known)) == len(known) <= fingerprints.MAX_PARTS
    if len(parts) <= fingerprints.MAX_PARTS:
        changed = [(key.lower(), size + 1) for key, size in reversed(parts)]
        other = prompts.Prompt(1, 1, (*changed, *changed, ("o", 1)))
        if 2 * len(parts) <= fingerprints.MAX_PARTS:
            assert set(fingerprints.list_part_fingerprints(other)) == set(known)


@pytest.mark.parametrize("others", [(), (("g0", 50), ("g1", 50))])
def test_sound_parts_are_served_that_were_at_crashes_with_a_harmful_one(
    state, others
):
    # Guards against refusing all prompts of a caller: they begin with one part,
    # and three of them crashed upstreams by another one, within a pause of the
    # sound ones.
    answer(state, 0.0, FIRST, *others)
    crash_times(state, 3, FIRST, *others, DEAD, start=5.0)
    assert list_quarantined_keys(state, "f0", "g0", "dead") == ["dead"]
    assert submit_prompt(state, 9.0, "sound", FIRST, *others)[1].upstream
    assert submit_prompt(state, 9.0, "new", FIRST, DEAD)[1].kind


def test_sound_part_beside_two_harmful_ones_is_served(state):
    # Guards against refusing what two harmful parts have in common.
    answer(state, 0.0, FIRST)
    crash_times(state, 3, FIRST, ("dead1", 9), start=5.0)
    crash_times(state, 3, FIRST, ("dead2", 9), start=8.0)
    accused = list_quarantined_keys(state, "f0", "dead1", "dead2")
    assert accused == ["dead1", "dead2"]
    assert submit_prompt(state, 12.0, "sound", FIRST)[1].upstream


def test_sound_part_beside_two_harmful_ones_in_turn_is_served_after_a_trial(
    state,
):
    # Guards against refusing for long what two harmful parts have in common: it
    # is at three crashes before either of them is.
    answer(state, 0.0, FIRST)
    for now, key in ((5.0, "dead1"), (6.0, "dead2"), (7.0, "dead1")):
        crash_times(state, 1, FIRST, (key, 9), start=now)
    assert list_quarantined_keys(state, "f0", "dead1", "dead2") == ["f0"]
    answer(state, 7.1 + trials.TRIAL_DELAY + trials.TRIAL_STEP, FIRST)
    assert list_quarantined_keys(state, "f0") == []
    crash_times(state, 1, FIRST, ("dead1", 9), start=14.0)
    crash_times(state, 2, FIRST, ("dead2", 9), start=15.0)
    accused = list_quarantined_keys(state, "f0", "dead1", "dead2")
    assert accused == ["dead1", "dead2"]


def test_part_that_may_be_sound_is_tried_by_one_request_at_a_time(state):
    # Guards against a sound part that nothing can clear, as all its requests
    # are refused: it has never been seen without a harmful part.
    crash_times(state, 3, FIRST, DEAD)
    assert list_quarantined_keys(state, "f0", "dead") == ["f0", "dead"]
    _, early = submit_prompt(state, 3.0, "early", FIRST)
    assert early.kind is errors.ErrorKind.QUARANTINED
    assert early.retry_after >= 2.1 + trials.TRIAL_DELAY - 3.0
    now = 2.1 + trials.TRIAL_DELAY + trials.TRIAL_STEP
    assert submit_prompt(state, now, "both", FIRST, DEAD)[1].kind
    number, sent = submit_prompt(state, now, "trial", FIRST)
    assert sent.upstream
    _, other = submit_prompt(state, now, "other", FIRST)
    assert other.retry_after >= trials.MIN_RETRY_AFTER
    outcomes.record_response(state, now + 0.1, number, first=True)
    outcomes.end_attempt(state, now + 0.2, number, AttemptEnd.COMPLETE)
    assert submit_prompt(state, now + 0.3, "sound", FIRST)[1].upstream
    _, refused = submit_prompt(state, now + 0.3, "new", DEAD)
    assert refused.kind is errors.ErrorKind.QUARANTINED
    assert refused.retry_after is None


def test_harmful_part_is_tried_once_and_not_retried(state):
    # Guards against a harmful part that crashes one upstream after the other by
    # trials.
    crash_times(state, 3, FIRST, DEAD)
    now = 2.1 + trials.TRIAL_DELAY + trials.TRIAL_STEP
    number, sent = submit_prompt(state, now, "trial", DEAD)
    assert sent.upstream
    assert not fakes.list_sends(crash(state, now + 0.1, number))
    for later in range(1, 60):
        _, refused = submit_prompt(state, now + later, f"r{later}", DEAD)
        assert refused.kind is errors.ErrorKind.QUARANTINED
        assert refused.retry_after is None


def test_parts_that_always_come_together_are_tried_together(state):
    # Guards against two sound parts that no trial clears, as none of their
    # prompts has but one of them.
    both = (FIRST, ("tools", 90))
    crash_times(state, 3, *both, DEAD)
    now = 2.1 + trials.TRIAL_DELAY + trials.TRIAL_STEP
    assert submit_prompt(state, now, "harmful", *both, DEAD)[1].kind
    answer(state, now, *both)
    assert list_quarantined_keys(state, "f0", "tools", "dead") == ["dead"]


def test_part_of_a_failed_trial_of_several_is_tried_alone(state):
    # Guards against a sound part that stays refused as a trial of it and a
    # harmful one has crashed an upstream.
    both = (FIRST, DEAD)
    crash_times(state, 3, *both, ("tools", 90))
    now = 2.1 + trials.TRIAL_DELAY + trials.TRIAL_STEP
    number, _ = submit_prompt(state, now, "trial", *both)
    crash(state, now + 0.1, number)
    later = now + 0.1 + trials.TRIAL_DELAY + trials.TRIAL_STEP
    assert submit_prompt(state, later, "again", *both)[1].kind
    answer(state, later, FIRST)
    assert submit_prompt(state, later + 0.3, "sound", FIRST)[1].upstream
    assert submit_prompt(state, later + 30.0, "new", *both)[1].kind


def test_trial_without_a_result_is_repeated(state):
    # Guards against a part that stays refused as the request that tried it was
    # cancelled by its caller.
    crash_times(state, 3, FIRST, DEAD)
    now = 2.1 + trials.TRIAL_DELAY + trials.TRIAL_STEP
    number, _ = submit_prompt(state, now, "trial", FIRST)
    core.cancel_request(state, now + 0.1, number)
    later = now + trials.TRIAL_INTERVAL
    assert submit_prompt(state, later, "again", FIRST)[1].upstream


def test_request_with_an_excused_part_is_retried(state):
    # Guards against retries that are forbidden by crashes which a harmful part
    # explains.
    answer(state, 0.0, FIRST)
    crash_times(state, 3, FIRST, DEAD, start=5.0)
    request = fakes.create_request("answer", parts=(FIRST,))
    number, _ = core.handle_request(state, 9.0, request)
    assert fakes.list_sends(crash(state, 9.1, number))


def test_part_that_served_for_long_is_refused_after_three_crashes(state):
    # Guards against a good record that protects a part which has begun to crash
    # upstreams, as with a new version of theirs.
    for count in range(20):
        answer(state, float(count), FIRST, DEAD)
    crash_times(state, 3, DEAD, start=25.0)
    assert list_quarantined_keys(state, "f0", "dead") == ["dead"]


def test_good_record_excuses_a_part_from_six_crashes_at_most(state):
    # Guards against a harmful part that is taken for sound since other parts,
    # never answered, were at each of its crashes.
    answer(state, 0.0, DEAD)
    for count in range(3 * 3):
        if not list_quarantined_keys(state, "dead"):
            accused = (f"new{count // 3}", 9)
            crash_times(state, 1, DEAD, accused, start=5.0 + count)
    fingerprint = fingerprints.compute_part_fingerprint("dead")
    count = quarantine.count_crashes(state.quarantine, fingerprint)
    assert count == verdicts.MAX_EXCUSED + 1
