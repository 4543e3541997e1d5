"""Model of an engine's batch, whose steps read prompts beside the output.

Each step adds a token to every response that has begun and reads a bounded
number of prompt tokens. While prompts are pending, steps take several times as
long, so responses last longer and slots remain occupied.
"""

__all__ = [
    "Batch",
    "Batching",
    "Run",
    "Step",
    "StepResult",
    "end_step",
    "start_step",
]

import collections
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Batching:
    """Durations of an engine's steps.

    Attributes:
        step_seconds: Duration of a step without prompt tokens and responses.
        slot_seconds: Additional duration for each response.
        chunk_tokens: Prompt tokens that one step reads at most.
        event_tokens: Tokens in an event of a stream.
    """

    step_seconds: float
    slot_seconds: float
    chunk_tokens: int
    event_tokens: int


@dataclasses.dataclass(slots=True)
class Run:
    """A request at an engine.

    Attributes:
        router: Router that sent it.
        number: Its number at that router.
        unread: Prompt tokens that the engine has yet to read.
        remaining: Output tokens that the engine has yet to make.
    """

    router: object
    number: int
    unread: int
    remaining: int


@dataclasses.dataclass(slots=True)
class Batch:
    """Requests at an engine.

    Attributes:
        waiting: Requests without a slot, in order of arrival.
        running: Requests with a slot, in order of arrival.
        is_busy: Whether a step is in progress.
    """

    waiting: collections.deque[Run] = dataclasses.field(
        default_factory=collections.deque
    )
    running: list[Run] = dataclasses.field(default_factory=list)
    is_busy: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """A step in progress.

    Attributes:
        seconds: Its duration.
        reads: Requests whose prompts it reads, with the number of tokens.
        responses: Requests whose responses it continues.
    """

    seconds: float
    reads: list[tuple[Run, int]]
    responses: list[Run]


@dataclasses.dataclass(slots=True, frozen=True)
class StepResult:
    """What a step produced.

    Attributes:
        begun: Requests whose first token was made.
        events: Requests whose stream got another event.
        ended: Requests whose response is complete.
    """

    begun: list[Run]
    events: list[Run]
    ended: list[Run]


def start_step(
    batch: Batch, batching: Batching, slots: int, read_rate: float
) -> Step | None:
    """Starts a step.

    Args:
        batch: Requests at the engine; changed.
        batching: Durations of steps.
        slots: Requests that run at once.
        read_rate: Prompt tokens read per second.

    Returns:
        The step; None if the engine has no work.
    """
    while batch.waiting and len(batch.running) < slots:
        batch.running.append(batch.waiting.popleft())
    batch.is_busy = bool(batch.running)
    if not batch.is_busy:
        return None
    responses = [run for run in batch.running if not run.unread]
    reads = []
    left = batching.chunk_tokens
    for run in batch.running:
        if run.unread and left:
            tokens = min(left, run.unread)
            left -= tokens
            reads.append((run, tokens))
    seconds = (
        batching.step_seconds
        + batching.slot_seconds * len(responses)
        + (batching.chunk_tokens - left) / read_rate
    )
    return Step(seconds, reads, responses)


def end_step(batch: Batch, batching: Batching, step: Step) -> StepResult:
    """Ends a step.

    Example:
        >>> batch = Batch()
        >>> batch.waiting.append(Run("front-1", 1, 5_000, 2))
        >>> batching = Batching(0.004, 0.0001, 4_096, 8)
        >>> step = start_step(batch, batching, 32, 100_000.0)
        >>> end_step(batch, batching, step).begun
        []
        >>> step = start_step(batch, batching, 32, 100_000.0)
        >>> [run.number for run in end_step(batch, batching, step).begun]
        [1]
        >>> step = start_step(batch, batching, 32, 100_000.0)
        >>> [run.number for run in end_step(batch, batching, step).ended]
        [1]
    """
    begun = []
    for run, tokens in step.reads:
        run.unread -= tokens
        if not run.unread:
            begun.append(run)
    for run in [*begun, *step.responses]:
        run.remaining -= 1
    events = [
        run
        for run in step.responses
        if run.remaining % batching.event_tokens == 0
    ]
    ended = [run for run in [*begun, *step.responses] if run.remaining <= 0]
    batch.running = [run for run in batch.running if run.remaining > 0]
    return StepResult(begun, events, ended)
