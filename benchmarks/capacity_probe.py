"""Reads resource usage from /proc and fits costs to measured points."""

import dataclasses
import gc
import os
import pathlib
import statistics
import subprocess
import sys
import tracemalloc

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclasses.dataclass(slots=True)
class Measure:
    """One row of the table of measured figures.

    Attributes:
        key: Name by which docs/CAPACITY.md refers to the measure.
        what: What was measured.
        value: The fitted slope, or the measured value.
        unit: Unit of the value.
        points: Pairs of load and reading that a slope was fitted to, or how
            the value was obtained.
    """

    key: str
    what: str
    value: float
    unit: str
    points: str


def read_cpu(pid: int) -> float:
    """Reads the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_SECOND


def read_resident(pid: int) -> int:
    """Reads the resident memory of a process, in bytes."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


def read_private(pid: int) -> int:
    """Reads the resident memory that only this process uses, in bytes."""
    lines = pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    sizes = [
        int(line.split()[1]) * 1024
        for line in lines
        if line.startswith(("Private_Clean", "Private_Dirty"))
    ]
    return sum(sizes)


def count_threads(pid: int) -> int:
    """Counts the threads of a process."""
    return len(list(pathlib.Path(f"/proc/{pid}/task").iterdir()))


def fit_slope(
    key: str,
    what: str,
    unit: str,
    points: list[tuple[float, float]],
    scale: float = 1.0,
) -> Measure:
    """Fits a line to readings; its slope is the cost per unit of load.

    Args:
        key: Name of the measure.
        what: What was measured.
        unit: Unit of the slope after scaling.
        points: Pairs of load and reading.
        scale: Factor from the unit of the readings to the unit of the slope.

    Returns:
        The measure, which lists the points.
    """
    loads, readings = zip(*points, strict=True)
    slope, _ = statistics.linear_regression(loads, readings)
    shown = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
    return Measure(key, what, slope * scale, unit, shown)


def measure_allocations(build, count: int) -> int:
    """Measures the bytes that Python allocates for the result of a function."""
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
    """Fits the memory per item that a function builds.

    Args:
        key: Name of the measure.
        what: What was measured.
        build: Builds and returns a given number of items.
        counts: Numbers of items to build.
    """
    points = [(n, float(measure_allocations(build, n))) for n in counts]
    return fit_slope(key, what, "bytes", points)


def measure_import(module: str) -> int:
    """Measures the resident memory of a process that imports one module."""
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
    return int(output) * PAGE_BYTES
