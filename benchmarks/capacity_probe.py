"""What the capacity benchmarks read from processes, and how slopes come out."""

import dataclasses
import gc
import os
import pathlib
import statistics
import subprocess
import sys
import tracemalloc

TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


@dataclasses.dataclass(slots=True)
class Measure:
    """One line of the measured table.

    Attributes:
        key: Name that docs/CAPACITY.md refers to.
        what: What was measured.
        value: The slope or the value.
        unit: Its unit.
        points: Where it comes from: pairs of load and reading, or a remark.
    """

    key: str
    what: str
    value: float
    unit: str
    points: str


def read_cpu(pid: int) -> float:
    """Reads a process's processor time so far, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS


def read_resident(pid: int) -> int:
    """Reads a process's resident memory, in bytes."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE


def read_private(pid: int) -> int:
    """Reads the resident memory that a process shares with none, in bytes."""
    lines = pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    sizes = [
        int(line.split()[1]) * 1024
        for line in lines
        if line.startswith(("Private_Clean", "Private_Dirty"))
    ]
    return sum(sizes)


def count_threads(pid: int) -> int:
    """Counts a process's threads."""
    return len(list(pathlib.Path(f"/proc/{pid}/task").iterdir()))


def fit_slope(
    key: str,
    what: str,
    unit: str,
    points: list[tuple[float, float]],
    scale: float = 1.0,
) -> Measure:
    """Fits a line through readings; its slope is the cost of one more.

    Args:
        key: Name of the measure.
        what: What was measured.
        unit: Unit of the slope after scaling.
        points: Pairs of load and reading.
        scale: Factor from the readings' unit to the slope's.

    Returns:
        The measure, with its points written out.
    """
    loads, readings = zip(*points, strict=True)
    slope, _ = statistics.linear_regression(loads, readings)
    shown = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
    return Measure(key, what, slope * scale, unit, shown)


def measure_allocations(build, count: int) -> int:
    """Measures the bytes that Python keeps for what a function builds."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = build(count)
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del kept
    return size


def fit_memory(key: str, what: str, build, counts: tuple[int, ...]) -> Measure:
    """Fits the memory of one more of what a function builds."""
    points = [(n, float(measure_allocations(build, n))) for n in counts]
    return fit_slope(key, what, "bytes", points)


def run_import(module: str) -> int:
    """Gives the resident memory of a process that imports one module."""
    code = (
        f"import {module}\n"
        "lines = open('/proc/self/statm').read().split()\n"
        "print(lines[1])"
    )
    output = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        check=True,
        text=True,
    ).stdout
    return int(output) * PAGE
