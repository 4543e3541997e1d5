"""Division of descriptors and memory under a crowd at a small VM."""

import dataclasses

from hypothesis import example, given, stateful
from hypothesis import strategies as st

from sycamorefall.direct import descriptors
from sycamorefall.transport import division, held_memory, request_reader

vms = st.builds(
    descriptors.Vm,
    max_descriptors=st.sampled_from((0, 1, 64, 300, 1675, 10_500, 1 << 30)),
    reserved_descriptors=st.sampled_from((0, 200, 1 << 20)),
    kernel_descriptors=st.none() | st.integers(0, 1 << 21),
    max_memory=st.sampled_from((0.0, 1.0, 160e6, 552e6, 1e15)),
    max_callers=st.integers(1, 5000),
)
peer_counts = st.integers(0, 400)

SUFFICIENT = 1200
"""Sockets with which 400 peers leave something to divide."""


def test_full_small_vm_has_room_for_larger_bodies():
    # Guards against a bound on bodies that refuses the larger ones as soon as
    # a small VM has as many callers as it may.
    memory = 160e6
    vm = descriptors.Vm(0, 0, None, memory, 5000)
    callers = descriptors.divide(vm, 5).callers
    held = held_memory.HeldMemory(
        memory - division.BASE_MEMORY, division.SMALL_REQUEST_MEMORY
    )
    held.callers = callers
    body = 100_000 * request_reader.BODY_COPIES
    accepted = [held.reserve(n, body) for n in range(callers)]
    assert sum(accepted) * body > 20e6
    assert not all(accepted)


@given(vms, peer_counts)
def test_parts_fit_and_each_caller_can_be_served(vm, peers):
    # Guards against callers that take the descriptors which their own requests
    # need, and against limits that are absent, zero or huge.
    divided = descriptors.divide(vm, peers)
    assert 1 <= divided.callers <= vm.max_callers
    assert divided.refusals >= 1
    if divided.upstreams is None:
        assert vm.kernel_descriptors is None
        assert not vm.max_descriptors
        return
    assert divided.upstreams >= divided.callers
    limits = [vm.kernel_descriptors] if vm.kernel_descriptors else []
    if vm.max_descriptors:
        limits.append(vm.max_descriptors - vm.reserved_descriptors)
    if limits and min(limits) >= SUFFICIENT:
        total = (
            divided.callers
            + divided.refusals
            + divided.upstreams
            + divided.control
        )
        assert total + division.PROCESS_DESCRIPTORS <= min(limits)


@given(vms, peer_counts, st.integers(0, 1 << 21))
@example(descriptors.Vm(0, 0, 0, 0.0, 5), 0, 40)
def test_lower_kernel_limit_never_gives_more(vm, peers, kernel):
    # Guards against a kernel that grants less than the settings say.
    limits = [kernel, vm.kernel_descriptors]
    lower = min(limit for limit in limits if limit is not None)
    less = descriptors.divide(
        dataclasses.replace(vm, kernel_descriptors=lower), peers
    )
    more = descriptors.divide(vm, peers)
    assert less.callers <= more.callers
    if more.upstreams is not None and more.callers == less.callers:
        assert less.upstreams <= more.upstreams


def test_little_memory_lets_fewer_callers_in():
    # Guards against a crowd that uses up the memory of a VM with many
    # descriptors: the process would be killed with all its requests.
    vm = descriptors.Vm(100_000, 200, None, 160e6, 5000)
    rich = dataclasses.replace(vm, max_memory=552e6)
    little = descriptors.divide(vm, 22).callers
    assert little * division.CALLER_MEMORY + division.BASE_MEMORY <= 160e6
    assert little < descriptors.divide(rich, 22).callers == 5000
    none = dataclasses.replace(vm, max_memory=1.0)
    assert descriptors.divide(none, 22).callers == division.MIN_CALLERS


class Crowd(stateful.RuleBasedStateMachine):
    """Callers come and go at a VM whose limits and peers change.

    The model does what the server and the client do: a caller is served up to
    the limit, idle callers and idle connections to upstreams go first, and each
    request has at most one connection to an upstream.
    """

    @stateful.initialize(limit=st.integers(120, 2000), peers=st.integers(0, 20))
    def start(self, limit, peers):
        self.limit = limit
        self.busy = self.idle = self.refused = 0
        self.idle_upstreams = 0
        self.peers = peers
        self.divide()

    def divide(self):
        vm = descriptors.Vm(self.limit, 0, None, 0.0, 5000)
        self.divided = descriptors.divide(vm, self.peers)

    @stateful.rule(count=st.integers(1, 500))
    def connect(self, count):
        for _ in range(count):
            if self.busy + self.idle >= self.divided.callers:
                if not self.idle:
                    self.refused = min(self.refused + 1, self.divided.refusals)
                    continue
                self.idle -= 1
            self.idle += 1

    @stateful.rule(count=st.integers(1, 500))
    def begin(self, count):
        count = min(count, self.idle)
        self.idle -= count
        for _ in range(count):
            if self.busy + self.idle_upstreams >= self.divided.upstreams:
                self.idle_upstreams -= 1
            self.busy += 1

    @stateful.rule(count=st.integers(1, 500), kept=st.booleans())
    def end(self, count, kept):
        count = min(count, self.busy)
        self.busy -= count
        self.idle += count if kept else 0
        self.idle_upstreams += count
        excess = self.busy + self.idle_upstreams - self.divided.upstreams
        self.idle_upstreams -= max(0, excess)

    @stateful.rule()
    def answer_refused(self):
        self.refused = 0

    @stateful.invariant()
    def fits(self):
        if not hasattr(self, "divided"):
            return
        used = 2 * self.busy + self.idle + self.refused + self.idle_upstreams
        links = division.LINKS_PER_PEER * self.peers
        assert self.idle_upstreams >= 0
        assert used + links + division.PROCESS_DESCRIPTORS <= self.limit


TestCrowd = Crowd.TestCase
