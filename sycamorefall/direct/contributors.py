"""The parts of the decisions for which routers add up tables."""

__all__ = ["apply_sums", "collect_tables"]

from sycamorefall import messages
from sycamorefall.direct import contributor, shared_sums
from sycamorefall.direct import state as state_module
from sycamorefall.direct.speed import exchange as speed_exchange

CONTRIBUTORS: tuple[contributor.Contributor, ...] = (
    speed_exchange.CONTRIBUTOR,
)


def collect_tables(
    state: state_module.DirectState, now: float
) -> tuple[messages.SumTable, ...]:
    """Collects this router's own tables of all parts."""
    return tuple(
        messages.SumTable(
            one.kind,
            service,
            tuple(messages.SumRow(*row) for row in rows.items()),
        )
        for one in CONTRIBUTORS
        for service, rows in one.collect(state, now).items()
        if rows
    )


def apply_sums(
    state: state_module.DirectState, now: float, sums: shared_sums.Sums
) -> None:
    """Passes the sums of all other routers to the parts that they belong to."""
    for one in CONTRIBUTORS:
        by_service = {
            service: rows
            for (kind, service), rows in sums.items()
            if kind == one.kind
        }
        one.apply(state, now, by_service)
