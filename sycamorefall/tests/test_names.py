"""Encoding of names: defined once per peer, and again after a loss."""

from hypothesis import given
from hypothesis import strategies as st

from sycamorefall import messages, names

TEAMS = [f"member-{index:05d}" for index in range(6)]


def build_envelope(team, incarnation=1):
    entry = messages.AccountEntry(team, "engine-0/1", 1, 5, 0, 0)
    update = messages.AccountUpdate("assistant", (entry,))
    return messages.Envelope("engine-0", incarnation, 1, update)


def transmit(sender, receiver, envelope, lost=False):
    """Sends an envelope unless it is lost; returns what is received."""
    compact = names.compact_envelope(sender, "engine-1", envelope)
    data = messages.encode_envelope(compact)
    if lost:
        return None, ()
    return names.expand_envelope(receiver, messages.decode_envelope(data))


def test_name_is_defined_once():
    sender, receiver = names.NameTable(), names.NameTable()
    sizes = []
    for _ in range(3):
        envelope = build_envelope(TEAMS[0])
        assert transmit(sender, receiver, envelope) == (envelope, ())
        compact = names.compact_envelope(sender, "engine-1", envelope)
        sizes.append(len(messages.encode_envelope(compact)))
    assert sizes[0] == sizes[1] < 50


@given(
    st.lists(
        st.tuples(st.sampled_from(TEAMS), st.booleans(), st.booleans()),
        max_size=30,
    )
)
def test_no_loss_or_restart_ever_gives_a_wrong_name(steps):
    # A definition is lost, or the receiver restarts without it. If the receiver
    # resolved the index to another name, it would charge the wrong team.
    sender, receiver = names.NameTable(), names.NameTable()
    for team, lost, restarts in steps:
        if restarts:
            receiver = names.NameTable()
        envelope = build_envelope(team)
        received, unknown = transmit(sender, receiver, envelope, lost)
        assert received in (None, envelope)
        names.mark_undefined(sender, "engine-1", unknown)
        if unknown:
            assert transmit(sender, receiver, envelope) == (envelope, ())


def test_restarted_sender_defines_its_indexes_anew():
    sender, receiver = names.NameTable(), names.NameTable()
    transmit(sender, receiver, build_envelope(TEAMS[0]))
    restarted = build_envelope(TEAMS[1], incarnation=2)
    assert transmit(names.NameTable(), receiver, restarted) == (restarted, ())


def test_late_message_of_an_ended_process_is_dropped_without_a_query():
    # A message of the old process arrives after the first one of the new
    # process. Expanded with the new definitions, it would name another team.
    old, new, receiver = (names.NameTable() for _ in range(3))
    transmit(old, receiver, build_envelope(TEAMS[0]))
    transmit(new, receiver, build_envelope(TEAMS[1], incarnation=2))
    assert transmit(old, receiver, build_envelope(TEAMS[0])) == (None, ())
    later = build_envelope(TEAMS[1], incarnation=2)
    assert transmit(new, receiver, later) == (later, ())


def test_names_are_defined_again_to_a_peer_that_restarted():
    own = names.NameTable()
    names.compact_envelope(own, "engine-1", build_envelope(TEAMS[0]))
    beat = messages.Envelope("engine-1", 4, 1, messages.Heartbeat())
    names.expand_envelope(own, beat)
    again = names.compact_envelope(own, "engine-1", build_envelope(TEAMS[0]))
    assert {entry.name for entry in again.names} >= {TEAMS[0]}


def test_state_of_departed_vms_is_dropped():
    own = names.NameTable()
    names.compact_envelope(own, "engine-1", build_envelope(TEAMS[0]))
    names.retain_peers(own, {"engine-2"})
    assert own.defined_bits == {}


def test_teams_of_a_large_configuration_are_never_defined(monkeypatch):
    monkeypatch.setattr(names, "MAX_NUMBERED_TEAMS", 1)
    sender, receiver = names.NameTable(), names.NameTable()
    for table in (sender, receiver):
        names.update_digests(table, ["assistant", *TEAMS])
    transmit(sender, receiver, build_envelope(TEAMS[0]))
    for team in TEAMS:
        envelope = build_envelope(team)
        assert names.compact_envelope(sender, "engine-1", envelope).names == ()
        assert transmit(sender, receiver, envelope) == (envelope, ())


def test_team_of_a_newer_configuration_is_defined_to_a_peer_that_lacks_it(
    monkeypatch,
):
    # Operators add a team. Its requests reach a router that has the new
    # configuration, and a sidecar that lacks it must still serve them.
    monkeypatch.setattr(names, "MAX_NUMBERED_TEAMS", 1)
    sender, receiver = names.NameTable(), names.NameTable()
    names.update_digests(sender, ["assistant", TEAMS[0]])
    envelope = build_envelope(TEAMS[0])
    received, unknown = transmit(sender, receiver, envelope)
    assert received is None
    names.mark_undefined(sender, "engine-1", unknown)
    assert transmit(sender, receiver, envelope) == (envelope, ())


def test_names_with_the_same_digest_are_defined(monkeypatch):
    # Two of 31,000 teams may have the same digest of 31 bits. If they were
    # taken for each other, one would wait for what the other received.
    monkeypatch.setattr(names, "MAX_NUMBERED_TEAMS", 1)
    monkeypatch.setattr(names, "_digest", lambda name: names.DIGEST_FLAG | 5)
    sender, receiver = names.NameTable(), names.NameTable()
    for table in (sender, receiver):
        names.update_digests(table, TEAMS)
    for team in TEAMS:
        assert transmit(sender, receiver, build_envelope(team)) == (
            build_envelope(team),
            (),
        )
