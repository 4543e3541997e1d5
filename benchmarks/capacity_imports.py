"""Resident memory after importing the modules of each role."""

from benchmarks import capacity_probe as probe

MODULES = (
    "os",
    "circuits",
    "circuits.web.http",
    "pynng",
    "h11",
    "msgspec",
    "eliot",
    "hdrh.histogram",
    "returns.result",
    "sycamorefall.router.daemon",
    "sycamorefall.sidecar.daemon",
)


def measure() -> list[probe.Measure]:
    """Measures the resident memory of a process per imported module."""
    sizes = [(module, probe.measure_import(module)) for module in MODULES]
    baseline = sizes[0][1]
    mib = 1 << 20
    return [
        probe.Measure(
            f"import-{module}",
            f"a process that imports {module} alone",
            size / mib,
            "MiB",
            f"{(size - baseline) / mib:+.1f} over a bare one",
        )
        for module, size in sizes
    ]
