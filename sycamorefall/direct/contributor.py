"""Interface of the parts of the decisions for which routers add up tables."""

__all__ = ["Contributor"]

from collections.abc import Callable
import dataclasses

from sycamorefall import messages
from sycamorefall.direct import shared_sums
from sycamorefall.direct import state as state_module


@dataclasses.dataclass(slots=True, frozen=True)
class Contributor:
    """A part of the decisions for which routers add up tables.

    Attributes:
        kind: What its tables count.
        collect: Returns this router's own rows by service. Called for each
            full update; services without rows are left out.
        apply: Takes the sums of all other routers by service. Called with each
            full update of another router, so it should only keep them.
    """

    kind: messages.SumKind
    collect: Callable[
        [state_module.DirectState, float], dict[str, shared_sums.Rows]
    ]
    apply: Callable[
        [state_module.DirectState, float, dict[str, shared_sums.Rows]], None
    ]
