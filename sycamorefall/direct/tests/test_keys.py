"""Tests of revoked keys and of configurations that arrive out of order."""

from hypothesis import stateful, strategies

from sycamorefall import errors
from sycamorefall.direct import core, effects, freshness
from sycamorefall.direct.tests import fakes


def test_possibly_revoked_key_is_refused():
    # A router loses contact with the platform, and a key is revoked. The holder
    # must not get work done for more than five seconds. The router can't learn
    # of the revocation, so the lease on the configuration has to expire.
    state = fakes.create_state(now=10.0)
    _, sent = fakes.submit_request(state, 13.0, "draft")
    assert isinstance(sent, effects.SendRequest)
    _, refused = fakes.submit_request(state, 14.0, "draft")
    assert refused.kind is errors.ErrorKind.NOT_READY
    assert refused.retry_after


def test_public_routes_are_served_while_the_platform_is_down():
    # The platform is down for a minute. Requests on public routes must still be
    # served, as they need no key that could be revoked.
    state = fakes.create_state(now=10.0)
    _, sent = fakes.submit_request(state, 70.0, "book", team="")
    assert isinstance(sent, effects.SendRequest)


def test_waiting_request_is_not_sent_after_its_key_is_revoked():
    # A request waits for a full engine, its key is revoked meanwhile, and then
    # the engine has a free slot. The request ran, because it had been
    # authorized only on arrival, under the older configuration.
    listing = [fakes.create_upstream_entry("e1")]
    state = fakes.create_state(listing=listing)
    for _ in range(4):
        fakes.submit_request(state, 0.0, "draft", tokens=100)
    number, sent = fakes.submit_request(state, 0.0, "draft", team="trader")
    assert sent is None
    changed = fakes.create_catalog(2, keys=("mill",))
    pending = core.apply_catalog(state, 0.1, changed)
    assert [(one.request, one.kind) for one in pending] == [
        (number, errors.ErrorKind.UNKNOWN_TEAM)
    ]
    assert number not in state.requests


def test_waiting_request_is_not_sent_after_the_lease_expired():
    # A request waits while the router loses contact with the platform and its
    # lease expires; then an engine has a free slot. Sent now, the request could
    # run on a revoked key.
    state = fakes.create_state(listing=[fakes.create_upstream_entry("e1")])
    running = [
        fakes.submit_request(state, 3.7, "draft", tokens=100)[0]
        for _ in range(4)
    ]
    _, sent = fakes.submit_request(state, 3.7, "draft")
    assert sent is None
    core.cancel_request(state, running[0], 3.9)
    assert not fakes.list_sends(core.run_timers(state, 3.9))


def test_older_configuration_is_never_applied():
    # A revoked key was refused, then accepted, then refused again: the late
    # response of a slow read brought an older version back into force.
    state = fakes.create_state()
    core.apply_catalog(state, 1.0, fakes.create_catalog(5, keys=("mill",)))
    core.apply_catalog(state, 1.1, fakes.create_catalog(3))
    _, refused = fakes.submit_request(state, 1.2, "draft", team="trader")
    assert refused.kind is errors.ErrorKind.UNKNOWN_TEAM


def test_router_without_configuration_answers_not_ready():
    # Right after the start, a caller with a valid key got a 404 and gave up:
    # the router took a missing configuration for a missing route.
    state = fakes.create_state()
    state.catalog = None
    _, refused = fakes.submit_request(state, 0.0, "draft")
    assert refused.kind is errors.ErrorKind.NOT_READY


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Checks the lease against reads that are lost, late or reordered."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.lease = freshness.Freshness(revocation_bound=5.0)
        self.in_progress: list[float] = []
        self.answered: list[float] = []

    @stateful.rule(seconds=strategies.floats(0.0, 3.0))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule()
    def send_read(self):
        self.in_progress.append(self.now)

    @stateful.precondition(lambda self: self.in_progress)
    @stateful.rule(data=strategies.data())
    def take_answer(self, data):
        sent = data.draw(strategies.sampled_from(self.in_progress))
        self.in_progress.remove(sent)
        freshness.record_proof(self.lease, sent)
        self.answered.append(sent)

    @stateful.invariant()
    def is_fresh_only_within_the_bound(self):
        if freshness.is_fresh(self.lease, self.now):
            newest = max(self.answered)
            run_by = self.now + freshness.DISPATCH_ALLOWANCE
            assert run_by - newest <= self.lease.revocation_bound


TestLease = LeaseMachine.TestCase
