"""Turns in which the input of many connections is parsed; no I/O.

Guards against callers whose input takes long to parse, such as bodies in very
small chunks: one read of it may take tenths of a second, and all other callers
would wait.
"""

__all__ = ["MAX_FIRST_PARTS", "MAX_SHORT_INPUT", "MAX_TURN_PARTS", "InputTurns"]

from collections.abc import Callable, Hashable

MAX_PARSE_TIME = 0.01
"""Seconds of a pass of the loop for parsing input that continues a request
or is long; a tenth of the time after which a pass counts as overloaded."""

MAX_TURN_PARTS = 64
"""Number of parts of a request, such as chunks, that are parsed at once: under
a millisecond."""

MAX_FIRST_PARTS = 16
"""Number of parts that are parsed as soon as a request begins to arrive; most
requests have fewer."""

MAX_SHORT_INPUT = 1 << 13
"""Maximum bytes of a first read that is parsed whatever others send."""


class InputTurns:
    """Connections whose input waits to be parsed, in the order of their turns.

    Attributes:
        spent: Seconds of the current pass that parsing took.
    """

    __slots__ = ("_read_clock", "_waiting", "spent")

    def __init__(self, read_clock: Callable[[], float]):
        self._read_clock = read_clock
        self._waiting: dict[Hashable, None] = {}
        self.spent = 0.0

    def __bool__(self) -> bool:
        """Returns whether a connection waits."""
        return bool(self._waiting)

    def may_parse(self) -> bool:
        """Returns whether the current pass has time for input that may wait."""
        return not self._waiting and self.spent < MAX_PARSE_TIME

    def add(self, key: Hashable) -> None:
        """Adds a connection at the end, unless it waits already."""
        self._waiting[key] = None

    def remove(self, key: Hashable) -> None:
        """Removes a connection that needn't wait any more."""
        self._waiting.pop(key, None)

    def run(self, parse: Callable[[Hashable], None]) -> None:
        """Begins a pass, and gives waiting connections their turns.

        Args:
            parse: Parses a part of a connection's input; may add it again.
        """
        self.spent = 0.0
        while self._waiting and self.spent < MAX_PARSE_TIME:
            key = next(iter(self._waiting))
            del self._waiting[key]
            self.measure(lambda key=key: parse(key))

    def measure(self, parse: Callable[[], None]) -> None:
        """Calls a function that parses input and adds the time it takes."""
        began_at = self._read_clock()
        parse()
        self.spent += self._read_clock() - began_at
