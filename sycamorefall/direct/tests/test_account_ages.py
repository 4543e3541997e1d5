"""What routers believe of teams when other routers' reports are late or lost.

Deltas carry no team usage and only the floors of upstreams whose load changed,
so a router that receives deltas alone has old figures from a live router.
"""

from hypothesis import given, settings, strategies
import pytest

from sycamorefall import messages
from sycamorefall.direct import core, exchange, fair_queue, totals
from sycamorefall.direct.tests import fakes, simulated_fleet

TEAM = "spinner"

ROUNDING = 1.02
"""Messages of the fleet take up to 3 ms a hop, in which accounts decay by less
than 0.2%."""

MAX_ERROR = ROUNDING * 2 ** (totals.MAX_HOLD / fair_queue.ACCOUNT_HALF_LIFE)
"""Largest factor by which an account exceeds what was received: a report holds
for half of the interval between two that arrive, of the longest if many are
lost."""

MAX_HOP_ERROR = ROUNDING * 2 ** (
    exchange.ELSEWHERE_INTERVAL / 2 / fair_queue.ACCOUNT_HALF_LIFE
)
"""The same for each router that passes it on, where none was lost before."""


class Ledger:
    """Charges of a team at all routers of a fleet, and what it received."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.charges = []

    def charge(self, name, cost):
        accounts = get_accounts(self.fleet.routers[name])
        fair_queue.charge_team(accounts, self.fleet.now, TEAM, cost)
        self.charges.append((name, cost, self.fleet.now))

    def sum_charges(self, reader, until):
        """Adds up what others than the reader had given until a time."""
        return sum(
            cost * 0.5 ** ((self.fleet.now - at) / fair_queue.ACCOUNT_HALF_LIFE)
            for name, cost, at in self.charges
            if name != reader and at <= until
        )


def get_accounts(router):
    return router.state.accounts.setdefault("engine", fair_queue.TeamAccounts())


def compute_believed(fleet, name):
    accounts = get_accounts(fleet.routers[name])
    received = fair_queue.compute_received(accounts, fleet.now, TEAM)
    own = fair_queue.TeamAccounts(own_received=accounts.own_received)
    return received - fair_queue.compute_received(own, fleet.now, TEAM)


def run_with_deltas(fleet, seconds):
    """Runs a fleet whose routers send deltas between their full updates."""
    for _ in range(round(seconds / 0.05)):
        for router in fleet.list_live():
            router.state.total_unread_sent += 2_000
        fleet.run(0.05)


def create_busy_fleet(**kinds):
    """Creates a fleet with a running request at each router."""
    fleet = simulated_fleet.Fleet(**kinds)
    fleet.run(2.0)
    for router in fleet.list_live():
        router.submit_request(fleet.now)
    fleet.run(2.0)
    return fleet


def lose_full_updates(fleet, to):
    fleet.is_lost = lambda receiver, message: (
        receiver == to
        and isinstance(message, messages.RouterLoad)
        and message.whole
    )


@pytest.mark.parametrize(
    ("giver", "hops"), [("router-0-1", 1), ("router-1-2", 3)]
)
def test_account_decays_while_no_full_update_arrives(giver, hops):
    # Guards against a team that is kept from engines for what it received
    # seconds ago: deltas kept the reporting router alive at a router that lost
    # its full updates, and the account there stayed as it was.
    fleet = create_busy_fleet(domains=2, size=4)
    ledger = Ledger(fleet)
    ledger.charge(giver, 1_000_000)
    run_with_deltas(fleet, 1.5)
    reader = "router-0-3"
    assert compute_believed(fleet, reader) > 400_000
    lose_full_updates(fleet, reader)
    for _ in range(9):
        run_with_deltas(fleet, 0.5)
        received = ledger.sum_charges(reader, fleet.now)
        error = MAX_HOP_ERROR**hops
        assert compute_believed(fleet, reader) <= error * received + 1


def test_account_decays_while_its_delegates_hear_no_full_update():
    # Guards against an account that is passed on as if it were new: a delegate
    # that had lost the full updates of another failure domain reported the old
    # account in full updates of its own.
    fleet = create_busy_fleet(domains=2, size=4)
    ledger = Ledger(fleet)
    ledger.charge("router-1-2", 1_000_000)
    run_with_deltas(fleet, 1.5)
    fleet.is_lost = lambda receiver, message: (
        isinstance(message, messages.RouterLoad)
        and message.whole
        and message.scope is messages.LoadScope.DOMAIN
    )
    for _ in range(9):
        run_with_deltas(fleet, 0.5)
        received = ledger.sum_charges("router-0-3", fleet.now)
        for reader in ("router-0-0", "router-0-3"):
            error = MAX_HOP_ERROR**3
            assert compute_believed(fleet, reader) <= error * received + 1


@given(
    seed=strategies.integers(0, 99),
    loss=strategies.floats(0.0, 0.9),
    charges=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3), strategies.integers(100, 99_999)
        ),
        max_size=8,
    ),
)
@settings(max_examples=20)
def test_belief_differs_by_what_was_given_since_the_reports(
    seed, loss, charges
):
    # Guards against accounts whose error depends on anything but the age of the
    # reports: a router believes no more than the team received, and all of what
    # it received before the oldest report.
    fleet = create_busy_fleet(domains=1, size=4, seed=seed)
    ledger = Ledger(fleet)
    fleet.loss = loss
    for giver, cost in charges:
        ledger.charge(f"router-0-{giver}", cost)
        run_with_deltas(fleet, 0.3)
        for name, reader in fleet.routers.items():
            believed = compute_believed(fleet, name)
            given_so_far = ledger.sum_charges(name, fleet.now)
            assert believed <= MAX_ERROR * given_so_far + 1
            sources = reader.load_exchange.totals.sources.values()
            if len(sources) == len(fleet.routers) - 1:
                oldest = min(source.updated_at for source in sources)
                unreported = 50 * len(sources)
                reported = ledger.sum_charges(name, oldest - 0.02)
                assert believed >= reported / ROUNDING - unreported


def test_floor_ends_while_no_full_update_arrives():
    # Guards against engines that are left to a team which no longer waits: a
    # router that lost full updates kept the floors of the last one while deltas
    # told it of other engines.
    fleet = create_busy_fleet(domains=2, size=4)
    reader = fleet.routers["router-0-3"]
    waiting = fleet.routers["router-0-1"]
    for upstream in waiting.state.table.by_name.values():
        upstream.own_load.running = 4
    number, _ = waiting.submit_request(fleet.now, team="trader")
    run_with_deltas(fleet, 0.3)
    floors = [one.floor for one in reader.state.table.by_name.values()]
    assert min(floors) < float("inf")
    lose_full_updates(fleet, "router-0-3")
    core.cancel_request(waiting.state, number, fleet.now)
    run_with_deltas(fleet, 2.0)
    floors = [one.floor for one in reader.state.table.by_name.values()]
    assert min(floors) == float("inf")


def create_report(sequence, sent_ms, **fields):
    load = messages.RouterLoad(
        sequence, "127.0.0.1:2", sent_ms=sent_ms, **fields
    )
    return messages.Envelope("front-2", 1, 1, load)


def test_late_full_update_counts_as_of_the_time_it_was_sent():
    # Guards against figures of a queued message that are taken for new: a late
    # router kept its team off engines by floors that were seconds old.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    exchange.handle_load(load_exchange, state, 1.0, create_report(1, 70_000))
    team = messages.TeamService(TEAM, 100_000)
    late = create_report(
        2,
        71_000,
        services=(messages.ServiceDemand("engine", (team,)),),
        upstreams=(messages.UpstreamLoad("e1", 1, 0, 0, 7, 7),),
    )
    exchange.handle_load(load_exchange, state, 4.0, late)
    received = fair_queue.compute_received(state.accounts["engine"], 4.0, TEAM)
    assert received <= fair_queue.decay(100_000, 2.0 - totals.MAX_HOLD)
    engine = state.table.by_name["e1"]
    assert engine.running == 1
    assert min(engine.floor, engine.short_floor) == float("inf")
    assert exchange.is_behind(load_exchange, 4.0)


def test_restarted_router_is_not_late():
    # Guards against a process that is taken for late because its clock differs
    # from that of the process before it.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    exchange.handle_load(load_exchange, state, 1.0, create_report(1, 70_000))
    load = messages.RouterLoad(1, "127.0.0.1:2", sent_ms=5)
    envelope = messages.Envelope("front-2", 2, 1, load)
    exchange.handle_load(load_exchange, state, 2.0, envelope)
    assert not exchange.is_behind(load_exchange, 2.0)


def test_router_is_not_behind_because_another_one_is_late():
    # Guards against a fleet that waits for messages at each read, because one
    # VM without processor time sends its own late.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    for turn in range(2):
        for number in (2, 3, 4):
            load = messages.RouterLoad(
                turn + 1, f"127.0.0.1:{number}", sent_ms=1000 * (turn + 1)
            )
            late = turn * 0.5 * (number == 2)
            envelope = messages.Envelope(f"front-{number}", 1, 1, load)
            exchange.handle_load(
                load_exchange, state, turn + 1.0 + late, envelope
            )
    assert not exchange.is_behind(load_exchange, 2.5)


def test_router_whose_clock_stood_still_is_not_late_for_ever():
    # Guards against a router whose messages all count as late, and its floors
    # and accounts as old, since its VM was suspended for some seconds.
    state, load_exchange = fakes.create_state(), fakes.create_exchange()
    for turn in range(400):
        now = 0.1 * turn
        suspended = 5.0 * (now > 3.0)
        report = create_report(turn + 1, int(1000 * (now + 50 - suspended)))
        exchange.handle_load(load_exchange, state, now, report)
        if 3.1 < now < 4.0:
            assert exchange.is_behind(load_exchange, now)
    assert not exchange.is_behind(load_exchange, now)
