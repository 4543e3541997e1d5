"""Chooses the prompts that a router reports to others, within a budget."""

__all__ = ["PromptBudget", "choose_prompts"]

import dataclasses

from sycamorefall import messages
from sycamorefall.direct import state as state_module

MAX_PROMPTS_PER_SECOND = 110.0
"""Prompts that a router reports per second, counted once for each receiver. At
16 to 25 bytes each, this is 2 to 3 KB/s sent and as much received, out of the
7 KB/s allowed for control traffic. Each of five routers may report 27 prompts a
second. On a day at full load, one of the five sent 48 or more long prompts in
one of 20 seconds, and never more than 70. Above the limit, only the prompts
with the most newly cached tokens are reported."""


@dataclasses.dataclass(slots=True)
class PromptBudget:
    """Prompts that a router may report.

    Attributes:
        allowed: Prompts that could be reported at the last update.
        updated_at: Time of that update.
    """

    allowed: float = 0.0
    updated_at: float = float("-inf")


def choose_prompts(
    budget: PromptBudget, state: state_module.DirectState, now: float
) -> list[messages.SentPrompt]:
    """Takes the prompts to be reported, as many as the budget allows.

    Prompts with the most tokens that the engine wasn't known to have cached go
    first: a prompt without such tokens only reports that cached parts were used
    again. Prompts beyond the budget are dropped.
    """
    rate = MAX_PROMPTS_PER_SECOND / max(1, state.routers - 1)
    earned = rate * (now - budget.updated_at)
    allowed = min(budget.allowed + earned, max(1.0, rate))
    budget.updated_at = now
    placements, state.placements = state.placements, []
    placements.sort(key=lambda placement: placement.new_tokens, reverse=True)
    reported = placements[: int(allowed)]
    budget.allowed = allowed - len(reported)
    return [
        messages.SentPrompt(
            placement.upstream,
            placement.prompt.digests[:-1],
            placement.prompt.tokens - placement.prompt.shared,
        )
        for placement in reported
    ]
