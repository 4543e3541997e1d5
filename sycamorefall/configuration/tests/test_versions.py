"""The highest valid text is in force, in whatever order texts arrive."""

import itertools

from sycamorefall import configuration

SubmitOutcome = configuration.SubmitOutcome


def write_text(weight):
    return f"[team a]\nweight = {weight}\n"


TEXTS = [
    (1, write_text(1)),
    (2, write_text(2)),
    (2, write_text(3)),
    (3, "[team a]\nweight = none\n"),
]


def test_lower_revision_is_ignored_and_counted():
    # The platform is restored from an old backup and publishes revision 1.
    # Adopting it would undo the operators' later changes.
    state = configuration.VersionState()
    configuration.submit_text(state, 2, write_text(2))
    assert (
        configuration.submit_text(state, 1, write_text(1))
        is SubmitOutcome.OLDER
    )
    assert state.configuration.teams["a"].weight == 2
    assert state.older_seen == 1


def test_all_orders_of_texts_give_the_same_result_without_rollback():
    # Two operators publish at the same time, so revision 2 has two texts, and
    # revision 3 is invalid. Processes receive them in different orders and must
    # reach the same state.
    results = set()
    for order in itertools.permutations(TEXTS * 2, 5):
        state = configuration.VersionState()
        keys = [(0, "")]
        for revision, text in order:
            configuration.submit_text(state, revision, text)
            keys.append(state.document.key if state.document else (0, ""))
        assert keys == sorted(keys)
        if set(order) == set(TEXTS):
            shown = (state.conflict, state.refusal, state.refused.revision)
            results.add((state.document.key, *shown))
    assert len(results) == 1
    _, conflict, refusal, refused = results.pop()
    assert "revision 2 has two texts" in conflict
    assert "line 2" in refusal
    assert refused == 3


def test_invalid_text_with_the_revision_in_force_is_not_adopted():
    state = configuration.VersionState()
    configuration.submit_text(state, 2, write_text(2))
    assert configuration.submit_text(state, 2, "bad") in (
        SubmitOutcome.REFUSED,
        SubmitOutcome.CONFLICT,
    )
    assert state.configuration.teams["a"].weight == 2
    assert state.conflict


def test_valid_text_after_an_invalid_one_clears_the_refusal():
    state = configuration.VersionState()
    configuration.submit_text(state, 2, "bad")
    assert state.refusal
    assert (
        configuration.submit_text(state, 3, write_text(1))
        is SubmitOutcome.ADOPTED
    )
    assert (state.refusal, state.in_force) == ("", 3)
