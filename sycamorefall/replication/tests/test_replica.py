"""Replicas of two or three processes; the tests pass on their messages."""

import pytest

from sycamorefall import configuration, errors, membership, messages
from sycamorefall.replication import offers, peers, replica, settling

NAMES = ("a", "b", "c")


def create_list(revision, names=NAMES):
    return membership.VmList(
        revision,
        tuple(
            membership.VmEntry(
                name,
                membership.VmRole.ROUTER,
                "domain-1",
                f"10.0.0.{index}:1",
                f"10.0.0.{index}:2",
            )
            for index, name in enumerate(names)
        ),
    )


def write_text(weight):
    return f"[team a]\nweight = {weight}\n"


def start_replica(name, seed=1):
    versions = configuration.VersionState()
    return replica.create_state(
        name, versions, membership.Directory(), seed=seed
    )


def read_platform(state, revision=1, weight=1, vms_revision=1):
    replica.apply_published_list(state, create_list(vms_revision))
    return replica.apply_published_text(state, revision, write_text(weight))


def create_settled(name, revision=1, weight=1, vms_revision=1):
    state = start_replica(name)
    read_platform(state, revision, weight, vms_revision)
    state.settled_by_address = dict.fromkeys(
        peers.list_peer_addresses(state), True
    )
    settling.try_settle(state, 0.0)
    assert state.settled
    return state


def fetch(state, now, source):
    """Performs a complete fetch from a source and returns the changes."""
    offer = offers.create_offer(source, offers.create_offer_request(state))
    request = offers.create_block_request(state, offer)
    blocks = offers.collect_blocks(source, request)
    events, is_complete = offers.apply_offer(state, offer, blocks)
    assert is_complete
    address = state.directory.vms[source.vm].data if source.vm else ""
    peers.record_success(state, now, address, offer.settled)
    return events


def receive_heartbeat(state, now, source):
    heartbeat = peers.add_replica_info(source, messages.Heartbeat())
    revision = source.versions.in_force
    envelope = messages.Envelope(source.vm, 1, revision, heartbeat)
    peers.record_envelope(state, now, envelope)


def test_higher_revision_is_fetched_from_the_peer_that_announces_it():
    old, new = create_settled("a"), create_settled("b", 2, weight=2)
    receive_heartbeat(old, 1.0, new)
    due = peers.find_next_due(old)
    assert due <= 1.0 + peers.FETCH_JITTER
    assert peers.start_due_fetches(old, due) == ["10.0.0.1:2"]
    fetch(old, due, new)
    assert old.versions.configuration.teams["a"].weight == 2
    assert peers.find_next_due(old) == float("inf")


def test_lower_revision_is_not_fetched():
    old, new = create_settled("a"), create_settled("b", 2)
    receive_heartbeat(new, 1.0, old)
    assert peers.start_due_fetches(new, 9.0) == []


def test_two_texts_with_one_revision_converge_and_show_a_conflict():
    one, two = create_settled("a", 2, weight=1), create_settled("b", 2, 2)
    receive_heartbeat(one, 1.0, two)
    receive_heartbeat(two, 1.0, one)
    assert peers.start_due_fetches(one, 9.0)
    assert peers.start_due_fetches(two, 9.0)
    fetch(one, 9.0, two)
    fetch(two, 9.0, one)
    assert one.versions.document.key == two.versions.document.key
    assert one.versions.conflict == two.versions.conflict != ""
    three = create_settled("c", 1)
    fetch(three, 9.0, one)
    assert three.versions.conflict == one.versions.conflict


def test_starting_process_prefers_a_peers_text_to_a_stale_platforms():
    # The platform publishes an old text while the process starts. Only a peer
    # knows the newer text, so no text is in force until a peer has answered.
    state = start_replica("a")
    read_platform(state, revision=1, weight=1)
    settling.try_settle(state, 0.0)
    assert state.versions.configuration is None
    peer = create_settled("b", 5, weight=5)
    state.tried_addresses = set(peers.list_peer_addresses(state))
    fetch(state, 1.0, peer)
    settling.try_settle(state, 1.0)
    assert state.versions.configuration.teams["a"].weight == 5


def test_starting_process_waits_for_several_peers_in_a_large_fleet():
    state = start_replica("a")
    names = [f"vm-{index}" for index in range(9)]
    replica.apply_published_list(state, create_list(1, ["a", *names]))
    replica.apply_published_text(state, 1, write_text(1))
    addresses = peers.start_due_fetches(state, 0.0)
    assert len(addresses) == peers.MAX_STARTUP_FETCHES
    for number, address in enumerate(addresses):
        settling.try_settle(state, 1.0)
        assert state.settled is (number >= settling.MIN_ANSWERS)
        peers.record_success(state, 1.0, address, settled=True)
    settling.try_settle(state, 1.0)
    assert state.settled


def test_whole_fleet_that_starts_settles_on_the_platforms_text():
    state = start_replica("a")
    read_platform(state)
    for address in peers.list_peer_addresses(state):
        settling.try_settle(state, 1.0)
        assert not state.settled
        peers.record_success(state, 1.0, address, settled=False)
    settling.try_settle(state, 1.0)
    assert state.settled


def test_starting_process_that_reaches_no_peer_never_settles():
    state = start_replica("a")
    read_platform(state)
    for step in range(100):
        now = float(step)
        for address in peers.start_due_fetches(state, now):
            peers.record_failure(state, now, address)
        settling.try_settle(state, now)
    assert not state.settled


def test_starting_process_offers_no_documents():
    state = start_replica("a")
    read_platform(state)
    assert offers.create_offer(state, offers.OfferRequest(())) == offers.Offer(
        settled=False
    )


def test_rebuilt_platform_with_low_revisions_raises_an_alarm():
    # The platform was rebuilt and counts revisions from 1 again. The operators'
    # changes have no effect until it has caught up; the alarm shows why.
    state = create_settled("a", 7, weight=7, vms_revision=7)
    assert read_platform(state, 1, weight=1, vms_revision=1) == []
    assert state.versions.configuration.teams["a"].weight == 7
    assert len(replica.describe_alarms(state)) == 2
    read_platform(state, 8, weight=8, vms_revision=8)
    assert replica.describe_alarms(state) == ()


def test_failing_peer_is_backed_off_from_and_another_is_chosen():
    state = create_settled("a")
    newer = create_settled("b", 2), create_settled("c", 2)
    for source in newer:
        receive_heartbeat(state, 1.0, source)
    first = peers.start_due_fetches(state, 9.0)
    peers.record_failure(state, 9.0, first[0])
    second = peers.start_due_fetches(state, 9.0)
    assert first != second
    assert len(second) == 1


@pytest.mark.parametrize("kind", [offers.Offer, offers.Blocks])
def test_malformed_message_from_a_peer_is_refused(kind):
    with pytest.raises(errors.MessageRefused):
        offers.decode(b"\xc1garbage", kind)
