"""Adds up tables of integers that routers tell each other; no I/O.

Several decisions need a figure of the whole fleet to which each router
contributes a part: how fast an upstream is, what a team asks for. The parts are
integers that are added up row by row, so a contribution can be replaced or
dropped without rounding errors.
"""

__all__ = [
    "Rows",
    "Sums",
    "TableKey",
    "add_tables",
    "drop_absurd_rows",
    "list_tables",
    "sum_tables",
]

from collections.abc import Iterable
import itertools

from sycamorefall import messages

Rows = dict[str, tuple[int, ...]]
"""Values by the name of their row."""

TableKey = tuple[int, str]
"""A `messages.SumKind` and a service."""

Sums = dict[TableKey, Rows]

MAX_VALUE = 1 << 40
"""Largest value of a row; the sums of thousands of routers fit into 63 bits."""


def add_tables(
    sums: Sums, tables: Iterable[messages.SumTable], sign: int = 1
) -> None:
    """Adds tables to sums, or subtracts them.

    Rows of which nothing is left are removed. A row with fewer values, as
    another version may send, counts as if the others were zero.

    Args:
        sums: The sums; changed.
        tables: The tables.
        sign: 1 to add, -1 to subtract.

    Example:
        >>> row = messages.SumRow("e1", (3, 4))
        >>> kind = messages.SumKind.UPSTREAM_SPEED
        >>> table = messages.SumTable(kind, "s", (row,))
        >>> sums = {}
        >>> add_tables(sums, [table, table])
        >>> sums[kind, "s"]
        {'e1': (6, 8)}
        >>> add_tables(sums, [table, table], sign=-1)
        >>> sums
        {}
    """
    for table in tables:
        key = (int(table.kind), table.service)
        rows = sums.setdefault(key, {})
        for row in table.rows:
            known = rows.get(row.name, ())
            values = tuple(
                before + sign * value
                for before, value in itertools.zip_longest(
                    known, row.values, fillvalue=0
                )
            )
            if any(values):
                rows[row.name] = values
            else:
                rows.pop(row.name, None)
        if not rows:
            del sums[key]


def drop_absurd_rows(
    tables: Iterable[messages.SumTable],
) -> tuple[messages.SumTable, ...]:
    """Drops rows with values so large that their sums could not be sent on."""
    return tuple(
        messages.SumTable(
            table.kind,
            table.service,
            tuple(
                row
                for row in table.rows
                if all(abs(value) <= MAX_VALUE for value in row.values)
            ),
        )
        for table in tables
    )


def list_tables(sums: Sums) -> tuple[messages.SumTable, ...]:
    """Lists sums as the tables of a message."""
    return tuple(
        messages.SumTable(
            kind,
            service,
            tuple(messages.SumRow(*row) for row in rows.items()),
        )
        for (kind, service), rows in sums.items()
    )


def sum_tables(
    parts: Iterable[Iterable[messages.SumTable]],
) -> tuple[messages.SumTable, ...]:
    """Adds up the tables of several routers."""
    sums: Sums = {}
    add_tables(sums, itertools.chain.from_iterable(parts))
    return list_tables(sums)
