"""Names on the wire: once per link, repaired after loss and restart."""

from hypothesis import given
from hypothesis import strategies as st

from sycamorefall import messages, names

TEAMS = [f"member-{index:05d}" for index in range(6)]


def build_envelope(team, incarnation=1):
    entry = messages.AccountEntry(team, "engine-0/1", 1, 5, 0, 0)
    update = messages.AccountUpdate("assistant", (entry,))
    return messages.Envelope("engine-0", incarnation, 1, update)


def transmit(sender, receiver, envelope, lost=False):
    """Sends over the wire; returns what the receiver makes of it."""
    compact = names.compact_envelope(sender, "engine-1", envelope)
    data = messages.encode_envelope(compact)
    if lost:
        return None, ()
    return names.expand_envelope(receiver, messages.decode_envelope(data))


def test_name_travels_once():
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
    # A definition is lost, or the receiver restarts and has forgotten it. A
    # guess in its place would charge one team for another's service.
    sender, receiver = names.NameTable(), names.NameTable()
    for team, lost, restarts in steps:
        if restarts:
            receiver = names.NameTable()
        envelope = build_envelope(team)
        taken, unknown = transmit(sender, receiver, envelope, lost)
        assert taken in (None, envelope)
        names.mark_undefined(sender, "engine-1", unknown)
        if unknown:
            assert transmit(sender, receiver, envelope) == (envelope, ())


def test_restarted_sender_numbers_anew():
    sender, receiver = names.NameTable(), names.NameTable()
    transmit(sender, receiver, build_envelope(TEAMS[0]))
    restarted = build_envelope(TEAMS[1], incarnation=2)
    assert transmit(names.NameTable(), receiver, restarted) == (restarted, ())


def test_late_message_of_a_dead_process_is_dropped_without_a_question():
    # An old message overtakes nothing but comes after the new process's
    # first: read with the new names, it would name another team.
    old, new, receiver = (names.NameTable() for _ in range(3))
    transmit(old, receiver, build_envelope(TEAMS[0]))
    transmit(new, receiver, build_envelope(TEAMS[1], incarnation=2))
    assert transmit(old, receiver, build_envelope(TEAMS[0])) == (None, ())
    later = build_envelope(TEAMS[1], incarnation=2)
    assert transmit(new, receiver, later) == (later, ())


def test_peer_that_restarted_is_told_all_names_again():
    own = names.NameTable()
    names.compact_envelope(own, "engine-1", build_envelope(TEAMS[0]))
    beat = messages.Envelope("engine-1", 4, 1, messages.Heartbeat())
    names.expand_envelope(own, beat)
    again = names.compact_envelope(own, "engine-1", build_envelope(TEAMS[0]))
    assert {entry.name for entry in again.names} >= {TEAMS[0]}


def test_vms_that_are_gone_are_forgotten():
    own = names.NameTable()
    names.compact_envelope(own, "engine-1", build_envelope(TEAMS[0]))
    names.retain_peers(own, {"engine-2"})
    assert own.defined_bits == {}


def test_names_of_a_large_text_are_never_defined(monkeypatch):
    monkeypatch.setattr(names, "MAX_NUMBERED_TEAMS", 1)
    sender, receiver = names.NameTable(), names.NameTable()
    for table in (sender, receiver):
        names.update_digests(table, ["assistant", *TEAMS])
    transmit(sender, receiver, build_envelope(TEAMS[0]))
    for team in TEAMS:
        envelope = build_envelope(team)
        assert names.compact_envelope(sender, "engine-1", envelope).names == ()
        assert transmit(sender, receiver, envelope) == (envelope, ())


def test_name_of_a_newer_text_is_defined_to_a_peer_that_lacks_it(monkeypatch):
    # Operators add a team; its requests reach a router with the new text,
    # and a sidecar that doesn't have it yet must still serve them.
    monkeypatch.setattr(names, "MAX_NUMBERED_TEAMS", 1)
    sender, receiver = names.NameTable(), names.NameTable()
    names.update_digests(sender, ["assistant", TEAMS[0]])
    envelope = build_envelope(TEAMS[0])
    taken, unknown = transmit(sender, receiver, envelope)
    assert taken is None
    names.mark_undefined(sender, "engine-1", unknown)
    assert transmit(sender, receiver, envelope) == (envelope, ())


def test_names_with_the_same_digest_are_defined(monkeypatch):
    # Two of 31,000 teams may share a digest of 31 bits; taken for each other
    # one would wait for what the other received.
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
