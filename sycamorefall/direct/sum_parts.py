"""Interface of the parts of the decisions that share sums between routers."""

__all__ = ["SumPart", "apply_sums", "collect_tables"]

from collections.abc import Callable, Iterable
import dataclasses

from sycamorefall import messages
from sycamorefall.direct import shared_sums
from sycamorefall.direct import state as state_module


@dataclasses.dataclass(slots=True, frozen=True)
class SumPart:
    """A part of the decisions to which each router contributes sums.

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


def collect_tables(
    parts: Iterable[SumPart], state: state_module.DirectState, now: float
) -> tuple[messages.SumTable, ...]:
    """Collects this router's own tables of some parts."""
    return tuple(
        messages.SumTable(
            part.kind,
            service,
            tuple(messages.SumRow(*row) for row in rows.items()),
        )
        for part in parts
        for service, rows in part.collect(state, now).items()
        if rows
    )


def apply_sums(
    parts: Iterable[SumPart],
    state: state_module.DirectState,
    now: float,
    sums: shared_sums.Sums,
) -> None:
    """Passes the sums of all other routers to the parts that they belong to."""
    for part in parts:
        by_service = {
            service: rows
            for (kind, service), rows in sums.items()
            if kind == part.kind
        }
        part.apply(state, now, by_service)
