"""In force is the highest valid text, whatever the order of the offers."""

import itertools

from sycamorefall import configuration

SubmitOutcome = configuration.SubmitOutcome


def write_text(weight):
    return f"[team a]\nweight = {weight}\n"


OFFERS = [
    (1, write_text(1)),
    (2, write_text(2)),
    (2, write_text(3)),
    (3, "[team a]\nweight = none\n"),
]


def test_lower_revision_is_ignored_and_counted():
    # The platform comes back from an old backup and shows revision 1. Taken,
    # it would undo what operators changed since.
    state = configuration.VersionState()
    configuration.submit_text(state, 2, write_text(2))
    assert (
        configuration.submit_text(state, 1, write_text(1))
        is SubmitOutcome.OLDER
    )
    assert state.configuration.teams["a"].weight == 2
    assert state.older_seen == 1


def test_all_orders_of_offers_end_alike_and_never_lead_back():
    # Two operators race, so revision 2 has two texts, and revision 3 is bad.
    # Processes see them in different orders; they must end with the same.
    ends = set()
    for order in itertools.permutations(OFFERS * 2, 5):
        state = configuration.VersionState()
        keys = [(0, "")]
        for revision, text in order:
            configuration.submit_text(state, revision, text)
            keys.append(state.document.key if state.document else (0, ""))
        assert keys == sorted(keys)
        if set(order) == set(OFFERS):
            shown = (state.conflict, state.refusal, state.refused.revision)
            ends.add((state.document.key, *shown))
    assert len(ends) == 1
    _, conflict, refusal, refused = ends.pop()
    assert "revision 2 has two texts" in conflict
    assert "line 2" in refusal
    assert refused == 3


def test_bad_text_under_the_revision_in_force_changes_nothing():
    state = configuration.VersionState()
    configuration.submit_text(state, 2, write_text(2))
    assert configuration.submit_text(state, 2, "bad") in (
        SubmitOutcome.REFUSED,
        SubmitOutcome.CONFLICT,
    )
    assert state.configuration.teams["a"].weight == 2
    assert state.conflict


def test_good_text_after_a_bad_one_clears_the_refusal():
    state = configuration.VersionState()
    configuration.submit_text(state, 2, "bad")
    assert state.refusal
    assert (
        configuration.submit_text(state, 3, write_text(1))
        is SubmitOutcome.ADOPTED
    )
    assert (state.refusal, state.in_force) == ("", 3)
