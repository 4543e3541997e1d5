"""A router's decision logic with simulated upstreams, for tests."""

from sycamorefall import configuration, membership, messages
from sycamorefall.router import attempt_lifecycle, core, intake
from sycamorefall.router import effects as router_effects
from sycamorefall.router import state as state_module

TEXT = """
[limits]
waiting_per_team = 500
waiting_per_router = 40
[service assistant]
kind = engine
depends_on = ledger
[service ledger]
kind = plain
[team mill]
[team flood]
[team large]
weight = 10
"""

UPSTREAMS = {"engine-0": "assistant", "ledger-0": "ledger"}


class Router:
    """A router whose upstreams send heartbeats while they are in `live`."""

    def __init__(self, text=TEXT, upstreams=UPSTREAMS):
        self.state = state_module.RouterState("router-0", 1)
        self.live = set(upstreams)
        self.claims = 0
        assert configuration.submit_text(self.state.versions, 1, text)
        vms = tuple(
            membership.VmEntry(
                name,
                membership.VmRole.UPSTREAM,
                "a",
                "127.0.0.1:1",
                "127.0.0.1:2",
                service,
            )
            for name, service in upstreams.items()
        )
        membership.apply_vm_list(
            self.state.directory, membership.VmList(1, vms)
        )
        self.run(0.0)

    def run(self, now):
        """Delivers heartbeats of live upstreams and runs the timers.

        Returns:
            The error answers.
        """
        for name in self.live:
            self.receive(now, messages.Heartbeat(), name)
        return collect_answers(core.run_timers(self.state, now))

    def receive(self, now, message, sender="engine-0"):
        envelope = messages.Envelope(sender, 1, 1, message)
        return core.receive_message(self.state, now, envelope)

    def admit(self, now, team="mill", timeout=100.0, service="assistant"):
        new = state_module.NewRequest(
            service, team, "POST", "/", (), timeout, idempotent=True
        )
        number, outcome = intake.admit_request(self.state, now, new)
        return number, collect_answers(outcome)

    def claim(self, now, team="mill", service="assistant", sidecar="engine-0"):
        """Claims a request; returns the effect that sends it, or None."""
        self.claims += 1
        claim = messages.Claim(self.claims, service, team, 1.0)
        sent = [
            effect
            for effect in self.receive(now, claim, sidecar)
            if isinstance(effect, router_effects.SendRequest)
        ]
        return sent[0] if sent else None

    def end(self, now, sent, end=attempt_lifecycle.AttemptEnd.COMPLETE):
        return collect_answers(
            attempt_lifecycle.end_attempt(
                self.state, now, sent.order.attempt_id, end, False
            )
        )


def collect_answers(outcome):
    """Returns the error answers as (request, kind, ran, retry_after)."""
    return [
        (
            effect.request,
            effect.kind.value,
            effect.ran.value,
            effect.retry_after,
        )
        for effect in outcome
        if isinstance(effect, router_effects.AnswerError)
    ]
