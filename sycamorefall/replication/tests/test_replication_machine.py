"""Two routers and three sidecars with failing links, platform and processes."""

import dataclasses

from hypothesis import settings, stateful
from hypothesis import strategies as st

from sycamorefall import effects, membership, messages
from sycamorefall.replication import offers, peers, replica, settling
from sycamorefall.router import core as router_core
from sycamorefall.router import intake
from sycamorefall.router import state as router_state
from sycamorefall.sidecar import core as sidecar_core
from sycamorefall.sidecar import state as sidecar_state

ROUTERS = ("router-0", "router-1")
SIDECARS = ("engine-0", "engine-1", "engine-2")
NAMES = ROUTERS + SIDECARS
INVALID_TEXT = "[service ledger]\nkind = odd\n"

names = st.sampled_from(NAMES)


def write_text(weight):
    return f"[service ledger]\nkind = plain\n[team mill-a]\nweight = {weight}\n"


def write_list(revision, leaving):
    entries = (
        membership.VmEntry(
            name,
            membership.VmRole("router" if name in ROUTERS else "upstream"),
            "domain-1",
            f"10.0.0.{index}:1",
            f"10.0.0.{index}:2",
            "" if name in ROUTERS else "ledger",
            membership.VmState("leaving" if name in leaving else "live"),
        )
        for index, name in enumerate(NAMES)
    )
    return membership.VmList(revision, tuple(entries))


@dataclasses.dataclass
class Process:
    """A process, and the sort keys of its documents at the last check."""

    core: object
    state: object
    replica: replica.ReplicaState
    text_key: tuple = (0, "")
    vms_key: tuple = (0, "")


def start_process(name, incarnation):
    if name in ROUTERS:
        core, state = router_core, router_state.RouterState(name, incarnation)
    else:
        core = sidecar_core
        state = sidecar_state.create_state(name, incarnation, "ledger")
    held = replica.create_state(
        name, state.versions, state.directory, seed=incarnation
    )
    return Process(core, state, held)


class Fleet(stateful.RuleBasedStateMachine):
    """State machine that delivers, repeats and drops control messages.

    Sent messages stay in `in_flight` until a rule handles them.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.incarnation = 1
        self.texts = [(1, write_text(1))]
        self.lists = [write_list(1, set())]
        self.leaving = set()
        self.cut_links = set()
        self.in_flight = []
        self.processes = {name: start_process(name, 1) for name in NAMES}
        self.settle_all()

    def settle_all(self):
        for _ in range(12):
            self.run_round(NAMES)

    def run_round(self, readers):
        self.now += 0.5
        for name in readers:
            self.read_platform(name)
        for name in NAMES:
            self.run_timers(name)
            self.fetch(name)
        while self.in_flight:
            self.receive(*self.in_flight.pop(0))

    # Actions of a process, called by the rules.

    def send(self, name, outcome):
        process = self.processes[name]
        for effect in outcome:
            if not isinstance(effect, effects.SendMessage):
                continue
            own = process.state.directory.vms.get(name)
            if isinstance(effect.message, messages.Claim):
                assert own.state is membership.VmState.LIVE
            envelope = messages.Envelope(
                name,
                process.state.incarnation,
                process.state.versions.in_force,
                peers.add_replica_info(process.replica, effect.message),
            )
            self.in_flight.append((name, effect.to, envelope))

    def receive(self, sender, to, envelope):
        if (sender, to) in self.cut_links:
            return
        process = self.processes[to]
        peers.record_envelope(process.replica, self.now, envelope)
        outcome = process.core.receive_message(
            process.state, self.now, envelope
        )
        self.send(to, outcome)

    def handle_events(self, name, events):
        process = self.processes[name]
        if events and process.replica.settled:
            process.core.apply_configuration(process.state)

    def settle(self, name):
        held = self.processes[name].replica
        self.handle_events(name, settling.try_settle(held, self.now))

    # Rules.

    @stateful.rule(name=names)
    def run_timers(self, name):
        process = self.processes[name]
        self.settle(name)
        self.send(name, process.core.run_timers(process.state, self.now))

    @stateful.rule(name=names)
    def read_platform(self, name):
        self.apply_published(name, *self.texts[-1], self.lists[-1])

    @stateful.rule(name=names, back=st.integers(1, 3))
    def read_stale_platform(self, name, back):
        revision, text = self.texts[max(0, len(self.texts) - 1 - back)]
        listed = self.lists[max(0, len(self.lists) - 1 - back)]
        self.apply_published(name, revision, text, listed)

    @stateful.rule(name=names)
    def read_partitioned_platform(self, name):
        revision, _ = self.texts[-1]
        listed = write_list(self.lists[-1].revision, {SIDECARS[1]})
        self.apply_published(name, revision, write_text(0.5), listed)

    def apply_published(self, name, revision, text, listed):
        held = self.processes[name].replica
        self.handle_events(name, replica.apply_published_list(held, listed))
        self.handle_events(
            name, replica.apply_published_text(held, revision, text)
        )
        peers.update_peers_ahead(held, self.now)
        self.settle(name)

    @stateful.rule(name=names)
    def fetch(self, name):
        held = self.processes[name].replica
        for address in peers.start_due_fetches(held, self.now):
            source = NAMES[int(address.split(".")[3].split(":")[0])]
            if {(name, source), (source, name)} & self.cut_links:
                peers.record_failure(held, self.now, address)
                continue
            other = self.processes[source].replica
            offer = offers.create_offer(
                other, offers.create_offer_request(held)
            )
            request = offers.create_block_request(held, offer)
            blocks = offers.collect_blocks(other, request)
            events, is_complete = offers.apply_offer(held, offer, blocks)
            assert is_complete
            self.handle_events(name, events)
            peers.record_success(held, self.now, address, offer.settled)
        self.settle(name)

    @stateful.rule(index=st.integers(0, 200), again=st.booleans())
    def deliver(self, index, again):
        if self.in_flight:
            index %= len(self.in_flight)
            message = (
                self.in_flight[index] if again else self.in_flight.pop(index)
            )
            self.receive(*message)

    @stateful.rule(index=st.integers(0, 200))
    def drop(self, index):
        if self.in_flight:
            self.in_flight.pop(index % len(self.in_flight))

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 40.0]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(name=st.sampled_from(ROUTERS))
    def ask_for_work(self, name):
        state = self.processes[name].state
        new = router_state.NewRequest(
            "ledger", "mill-a", "POST", "/", (), 30.0, False
        )
        _, outcome = intake.admit_request(state, self.now, new)
        self.send(name, outcome)

    @stateful.rule(name=names)
    def restart(self, name):
        self.incarnation += 1
        self.processes[name] = start_process(name, self.incarnation)

    @stateful.rule(one=names, other=names)
    def cut_link(self, one, other):
        self.cut_links.add((one, other))

    @stateful.rule()
    def heal_links(self):
        self.cut_links.clear()

    @stateful.rule(name=names, invalid=st.booleans())
    def publish_text(self, name, invalid):
        revision = self.texts[-1][0] + 1
        text = INVALID_TEXT if invalid else write_text(revision)
        self.texts.append((revision, text))
        self.read_platform(name)

    @stateful.rule(name=st.sampled_from(SIDECARS))
    def toggle_leaving(self, name):
        self.leaving ^= {name}
        revision = self.lists[-1].revision + 1
        self.lists.append(write_list(revision, self.leaving))
        self.read_platform(name)

    @stateful.rule(rounds=st.integers(1, 4))
    def run_rounds(self, rounds):
        for _ in range(rounds):
            self.run_round(())

    @stateful.invariant()
    def documents_never_get_older(self):
        for process in self.processes.values():
            document = process.state.versions.document
            vms = process.state.directory.document
            text_key = document.key if document else (0, "")
            vms_key = vms.key if vms else (0, "")
            assert text_key >= process.text_key
            assert vms_key >= process.vms_key
            process.text_key, process.vms_key = text_key, vms_key

    def teardown(self):
        """Once links work again, all processes agree, though only one reads.

        Starting processes read the platform as well until they are settled.
        """
        self.cut_links.clear()
        self.publish_text(ROUTERS[0], invalid=False)
        self.toggle_leaving(SIDECARS[0])
        for _ in range(90):
            starting = [
                name
                for name in NAMES
                if not self.processes[name].replica.settled
            ]
            self.run_round(sorted({*starting, ROUTERS[0]}))
            self.documents_never_get_older()
        states = [process.state for process in self.processes.values()]
        assert len({state.versions.document.key for state in states}) == 1
        assert len({state.directory.document.key for state in states}) == 1
        assert states[0].versions.in_force == self.texts[-1][0]
        assert states[0].directory.revision == self.lists[-1].revision


Fleet.TestCase.settings = settings(
    max_examples=40, stateful_step_count=40, deadline=None, derandomize=True
)
TestFleet = Fleet.TestCase
