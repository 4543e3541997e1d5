"""Single orders of failures, each with the guard that it needs."""

import pytest

from sycamorefall import errors
from sycamorefall.dispatch.tests import model
from sycamorefall.router import attempt_lifecycle, stalls

UNKNOWN = ("outcome_unknown", errors.Ran.UNKNOWN)
COMPLETE = attempt_lifecycle.AttemptEnd.COMPLETE


def hand_out(idempotent=False, timeout=3000.0, offered=False):
    """A fleet with one request on its way to a sidecar."""
    fleet = model.Fleet()
    fleet.advance_connected(1.0)
    submit(fleet, timeout, idempotent, offered)
    return fleet, fleet.hand_outs[0]


def submit(fleet, timeout, idempotent, offered=False):
    """A request at router-0, claimed by a sidecar or offered to one."""
    if not offered:
        fleet.processes["router-0"].state.hints.clear()
    fleet.submit("router-0", timeout, idempotent)
    assert bool(fleet.hand_outs) == offered
    fleet.advance_connected(0.1)


def test_hand_out_that_was_called_never_seen_is_refused():
    """A link breaks with an order on its way; the order is handed out anew.

    The sidecar, asked, has never seen it, and the router hands it out again.
    Then the first hand-out arrives after all, its claim still in force.
    """
    fleet, first = hand_out()
    fleet.deliver_reply(first, attempt_lifecycle.AttemptEnd.BROKEN)
    fleet.deliver_all_mail()
    assert len(fleet.hand_outs) == 2
    fleet.deliver_all_hand_outs()
    assert fleet.starts["request-0"] == 1
    assert first not in fleet.runs


def test_never_seen_is_not_believed_of_an_old_attempt():
    """A router sleeps for longer than a sidecar remembers what it ran.

    It wakes up, finds the link broken and asks. The sidecar has dropped its
    record of the finished order, and says that it has never seen it.
    """
    fleet, first = hand_out()
    fleet.deliver_all_hand_outs()
    fleet.end_run(first, COMPLETE)
    fleet.processes["router-0"].frozen = True
    fleet.advance_connected(700.0)
    fleet.processes["router-0"].frozen = False
    fleet.deliver_reply(first, attempt_lifecycle.AttemptEnd.BROKEN)
    fleet.advance_connected(1.0)
    fleet.deliver_all_hand_outs()
    assert fleet.final["request-0"] == UNKNOWN
    assert fleet.starts["request-0"] == 1


@pytest.mark.parametrize("restarted", ["router", "sidecar"])
def test_hand_out_of_or_for_an_earlier_process_is_refused(restarted):
    """A process restarts while an order is on its way to or from it.

    Claim numbers begin anew, so the order names a claim that the new process
    made or answers, for another request of the same team.
    """
    fleet, first = hand_out()
    link = fleet.links[first]
    name = link.order.sidecar if restarted == "sidecar" else "router-0"
    fleet.restart(name)
    fleet.advance_connected(0.5)
    fleet.hand_outs.clear()
    submit(fleet, 30.0, False)
    fleet.deliver_hand_out(first, reachable=True)
    assert first not in fleet.runs


def test_order_whose_upstream_could_not_be_reached_runs_elsewhere():
    """An upstream refuses connections, and the word of it is lost.

    No byte reached the upstream, so the order may run at another one; its
    caller gets a confirmation instead of "outcome unknown".
    """
    fleet, first = hand_out()
    fleet.deliver_hand_out(first, reachable=False)
    fleet.deliver_reply(first, attempt_lifecycle.AttemptEnd.BROKEN)
    fleet.deliver_all_mail()
    fleet.hand_outs.remove(first)
    fleet.deliver_all_hand_outs()
    assert len(fleet.runs) == 1


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("frozen", [True, False])
def test_caller_does_not_hang_on_a_link_that_holds_bytes_back(
    idempotent, frozen
):
    """A run has ended, but its answer is held back and nothing is closed.

    Either only the answer's connection is dead, or the whole sidecar froze.
    The caller would wait until its deadline, most of an hour away.
    """
    fleet, first = hand_out(idempotent)
    fleet.deliver_all_hand_outs()
    if not frozen:
        fleet.end_run(first, COMPLETE)
    fleet.processes[fleet.links[first].order.sidecar].frozen = frozen
    fleet.advance_connected(stalls.FIRST_CHECK_DELAY + 12.0)
    if idempotent:
        assert fleet.hand_outs, "not handed out again"
    else:
        assert fleet.final["request-0"] == UNKNOWN


def test_order_at_a_sidecar_that_thaws_in_time_is_confirmed():
    """A sidecar freezes for a few seconds in the middle of a booking."""
    fleet, first = hand_out()
    fleet.deliver_all_hand_outs()
    sidecar = fleet.processes[fleet.links[first].order.sidecar]
    sidecar.frozen = True
    fleet.advance_connected(8.0)
    sidecar.frozen = False
    fleet.advance_connected(20.0)
    fleet.end_run(first, COMPLETE)
    fleet.deliver_all_replies()
    assert fleet.final["request-0"] == ("", errors.Ran.YES)


@pytest.mark.parametrize("idempotent", [True, False])
def test_run_of_a_vanished_router_gives_its_slot_back(idempotent):
    """A router is cut off without a word; its run holds a slot for ever.

    The sidecar cancels it at its deadline. A booking goes on to its end.
    """
    fleet, first = hand_out(idempotent, timeout=30.0)
    fleet.deliver_all_hand_outs()
    fleet.processes["router-0"].frozen = True
    fleet.advance_connected(31.0)
    assert (first in fleet.runs) == (not idempotent)


@pytest.mark.parametrize("begun", [True, False])
def test_deadline_tells_what_is_known_of_the_run(begun):
    """A deadline passes while an answer streams, or before any of it."""
    fleet, first = hand_out(idempotent=True, timeout=30.0)
    fleet.deliver_all_hand_outs()
    state = fleet.processes["router-0"].state
    stalls.record_progress(state, fleet.clock("router-0"), first, 9, begun)
    fleet.advance(31.0)
    ran = errors.Ran.YES if begun else errors.Ran.UNKNOWN
    assert fleet.final["request-0"] == ("deadline_exceeded", ran)


def test_stalled_stream_is_broken_off():
    """Part of an answer came, then the link holds the rest back.

    The sidecar says twice that it sent more than came: the caller gets an
    end-of-stream error rather than silence until its deadline.
    """
    fleet, first = hand_out(idempotent=True)
    fleet.deliver_all_hand_outs()
    sidecar = fleet.processes[fleet.links[first].order.sidecar].state
    router = fleet.processes["router-0"].state
    sidecar.runs[first].sent = 20
    stalls.record_progress(router, fleet.clock("router-0"), first, 9, True)
    stalls.record_pause(router, first, True)
    fleet.advance_connected(12.0)
    assert not fleet.final, "a slow caller is no stalled link"
    stalls.record_pause(router, first, False)
    fleet.advance_connected(30.0)
    assert fleet.final["request-0"] == ("answer_incomplete", errors.Ran.YES)


@pytest.mark.parametrize("offered", [True, False])
def test_sidecar_thawed_past_its_lease_refuses_what_it_asked_for(offered):
    """A sidecar claims or hints, freezes, and wakes up to the hand-out.

    Meanwhile the world has moved on: its slot may be taken, its router may
    have given the order to another.
    """
    fleet, first = hand_out(offered=offered)
    fleet.now += 20.0
    fleet.deliver_hand_out(first, reachable=True)
    assert not fleet.starts
    fleet.deliver_all_replies()
    assert not fleet.final, "the order waits again"
