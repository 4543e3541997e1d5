"""Each check of the soak fails when its promise is broken."""

import signal
import types

import pytest

from soak import callers, fleet, verdict

ONCE = callers.Kind("booking", 1.0, 12.0)
REPEATABLE = callers.Kind("status", 1.0, 12.0, repeatable=True)
STOPPED = 100.0


def judge(
    runs=(), kind=ONCE, disturbed=(), broken=(), silent=(), ends=(), **seen
):
    """Judges one request; `runs` are upstream, change and time of each."""
    fields = {
        "sent_at": STOPPED,
        "ended_at": STOPPED + 2.0,
        "connected_at": STOPPED - 1.0,
    } | seen
    outcome = callers.Outcome("r", kind, "front", "kept", **fields)
    router = types.SimpleNamespace(
        name="front", stopped_at=[STOPPED], disturbed=list(disturbed)
    )
    return verdict.judge(
        [outcome],
        {"r": list(runs)},
        [router],
        list(broken),
        list(silent),
        {0: [fleet.LinkEnd(*end) for end in ends]},
    )


BEGUN = ("e1", "begun", STOPPED + 0.1)
BROKEN = ("e1", "broken", STOPPED + 2.0)


def test_process_that_ends_by_itself_is_found():
    assert fleet.is_odd_end((0, 0.0, False))
    assert fleet.is_odd_end((-signal.SIGABRT, 3.0, True))
    assert not fleet.is_odd_end((0, 3.0, True))
    assert not fleet.is_odd_end((-signal.SIGKILL, fleet.GRACE, True))


def test_request_that_ran_and_has_no_answer_is_lost():
    assert len(judge([BEGUN, BROKEN]).lost) == 1


@pytest.mark.parametrize(
    ("excuse", "ends"),
    [
        ("no router listened", [(None, STOPPED + 0.1)]),
        # The router had ended the connection before the request came.
        (
            "unread, closed before it arrived",
            [(STOPPED - 2.0, STOPPED + 0.05)],
        ),
        # It had done so before the last part of the request was sent.
        (
            "unread, closed before it arrived",
            [(STOPPED - 0.3, STOPPED - 0.35)],
        ),
        (
            "unread, crossed the close",
            [(STOPPED - 2.0, STOPPED - 1.9), (STOPPED + 0.1, STOPPED + 0.18)],
        ),
    ],
)
def test_unread_request_that_crossed_the_close_is_excused(excuse, ends):
    found = judge(ends=ends, ended_at=STOPPED + 0.19)
    assert found.excused == {excuse: 1}


@pytest.mark.parametrize(
    "ends",
    [
        [],  # Nothing shows that a router ended the connection.
        [(STOPPED + 0.01, STOPPED + 0.22)],  # It had time to read it.
        [(None, STOPPED - 2.0)],  # An earlier connection of that port.
        [(None, STOPPED + 9.0)],  # A later one.
    ],
)
def test_unread_request_is_lost_unless_it_crossed_the_close(ends):
    assert len(judge(ends=ends, ended_at=STOPPED + 0.1).lost) == 1


def test_unread_request_that_ends_late_is_lost_though_a_close_came():
    ends = [(STOPPED - 2.0, STOPPED + 0.05)]
    assert len(judge(ends=ends, ended_at=STOPPED + 0.205).lost) == 1


def test_request_that_ran_is_lost_though_a_close_came():
    ends = [(STOPPED + 0.1, STOPPED + 0.11)]
    found = judge([BEGUN, BROKEN], ends=ends, ended_at=STOPPED + 0.15)
    assert len(found.lost) == 1


def test_request_without_any_answer_at_its_deadline_is_lost():
    assert len(judge([BEGUN], ended_at=STOPPED + 12.0).lost) == 1
    assert len(judge(ended_at=STOPPED + 12.0).lost) == 1


@pytest.mark.parametrize(
    ("promise", "case"),
    [
        ("TWICE", {"runs": [BEGUN, ("e2", "begun", STOPPED + 0.5)]}),
        ("REFUSED", {"runs": [BEGUN], "status": 503}),
    ],
)
def test_promises_about_requests_that_run_once(promise, case):
    found = judge(whole=True, **{"status": 200} | case)
    assert [name for name, _, _ in found.others] == [promise]
    found = judge(whole=True, kind=REPEATABLE, **{"status": 200} | case)
    assert found.others == []


def test_body_of_another_request_is_found():
    found = judge([BEGUN], status=200, error="another body")
    assert [name for name, _, _ in found.others] == ["MIXED"]


@pytest.mark.parametrize(
    ("excuse", "case"),
    [
        (
            "deadline of an answer that has begun",
            {"ended_at": STOPPED + 12.0, "status": 200},
        ),
        ("router disturbed", {"disturbed": [(STOPPED - 2, STOPPED - 1)]}),
        (
            "upstream broke off",
            {"broken": [("e1", STOPPED + 1.9, STOPPED + 2.1)]},
        ),
        (
            "still at work at the end of the grace time",
            {
                "runs": [BEGUN, ("e1", "broken", STOPPED + fleet.GRACE)],
                "ended_at": STOPPED + fleet.GRACE,
            },
        ),
        # An upstream that stands still sees the end of its work later.
        (
            "still at work at the end of the grace time",
            {
                "runs": [BEGUN, ("e1", "broken", STOPPED + fleet.GRACE + 1.7)],
                "ended_at": STOPPED + fleet.GRACE,
            },
        ),
        # The answer was sent, but its link held it until after the kill.
        (
            "answer on a silent link at the end of the grace time",
            {
                "runs": [BEGUN, ("e1", "whole", STOPPED + 6.0)],
                "silent": [("e1", STOPPED + 5.8, STOPPED + 8.3)],
                "ended_at": STOPPED + fleet.GRACE,
            },
        ),
        # A slow caller reads what was sent before the kill until later.
        (
            "still at work at the end of the grace time",
            {
                "runs": [BEGUN, ("e1", "broken", STOPPED + fleet.GRACE + 0.1)],
                "ended_at": STOPPED + 11.0,
            },
        ),
    ],
)
def test_losses_are_excused_only_as_the_rules_say(excuse, case):
    case = {"runs": [BEGUN, BROKEN]} | case
    assert judge(**case).excused == {excuse: 1}


def test_send_that_was_given_up_is_no_sign_that_a_request_went_on():
    broken = [("e1", STOPPED + 1.9, STOPPED + 2.1)]
    late = ("e2", "begun", STOPPED + 3.5)
    assert not judge([BEGUN, BROKEN, late], broken=broken).lost
    # A slow caller reads what was sent before the end until later.
    ends = [(STOPPED, STOPPED + 2.2)]
    slow = {"broken": broken, "ends": ends, "ended_at": STOPPED + 4.0}
    assert not judge([BEGUN, BROKEN, late], **slow).lost
    assert len(judge([BEGUN, BROKEN, late], **slow | {"ends": []}).lost) == 1


@pytest.mark.parametrize(
    "case",
    [
        {"disturbed": [(STOPPED - 9, STOPPED - 8)]},
        {"broken": [("e2", STOPPED + 1.9, STOPPED + 2.1)]},
        # It went on elsewhere after its upstream had broken off.
        {
            "broken": [("e1", STOPPED + 0.9, STOPPED + 1.1)],
            "runs": [BEGUN, ("e2", "begun", STOPPED + 1.2)],
        },
        {"runs": [BEGUN], "ended_at": STOPPED + 6.0},
        {
            "runs": [BEGUN, ("e1", "whole", STOPPED + 6.0)],
            "silent": [("e1", STOPPED + 5.8, STOPPED + 7.9)],
            "ended_at": STOPPED + fleet.GRACE,
        },
        {
            "sent_at": STOPPED + 3.5,
            "runs": [("e1", "begun", STOPPED + 3.6)],
            "ended_at": STOPPED + fleet.GRACE,
        },
    ],
)
def test_losses_without_such_an_excuse_count(case):
    assert len(judge(**{"runs": [BEGUN, BROKEN]} | case).lost) == 1
