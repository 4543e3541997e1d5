"""Speed of the engines of a service, and the pauses of their streams.

`reference` tells what events and prompts take at an engine of scale 1,
`estimates` how long they take at one of them, and `pauses` how many prompt
tokens may be pending there without a pause of its streams that is longer than
their callers accept. `exchange` shares estimates between routers.
"""

from sycamorefall.direct.speed.estimates import (
    EngineSpeed,
    compute_scale,
    compute_usual_scale,
    record_gap,
    record_prefill,
    record_reported,
)
from sycamorefall.direct.speed.pauses import (
    compute_pending_limit,
    find_max_pause,
    is_in_effect,
    record_max_pause,
)
from sycamorefall.direct.speed.reference import (
    ServiceSpeed,
    estimate_read_rate,
    get_expected_slowdown,
)

__all__ = [
    "EngineSpeed",
    "ServiceSpeed",
    "compute_pending_limit",
    "compute_scale",
    "compute_usual_scale",
    "estimate_read_rate",
    "find_max_pause",
    "get_expected_slowdown",
    "is_in_effect",
    "record_gap",
    "record_max_pause",
    "record_prefill",
    "record_reported",
]
