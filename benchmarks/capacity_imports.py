"""Resident memory that a role's imports take before it does anything."""

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
    """Measures a process that imports one module, for several modules."""
    sizes = [(module, probe.run_import(module)) for module in MODULES]
    bare = sizes[0][1]
    mib = 1 << 20
    return [
        probe.Measure(
            f"import-{module}",
            f"a process that imports {module} alone",
            size / mib,
            "MiB",
            f"{(size - bare) / mib:+.1f} over a bare one",
        )
        for module, size in sizes
    ]
