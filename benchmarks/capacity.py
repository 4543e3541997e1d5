"""Measures the figures that docs/CAPACITY.md uses and writes their table.

Each `capacity_*` module measures one section of the table. Every slope is
listed with the points that it was fitted to.
"""

import argparse
import datetime
import os
import pathlib
import platform
import subprocess

from benchmarks import (
    capacity_control,
    capacity_datapath,
    capacity_fleet,
    capacity_imports,
    capacity_probe,
    capacity_projection,
    capacity_spreading,
    capacity_state,
)

TABLE = pathlib.Path("docs/capacity-measured.md")

SECTIONS = {
    "Requests and tokens": capacity_datapath.measure,
    "Control": capacity_control.measure,
    "Control at full size": capacity_fleet.measure,
    "Reads and changes of the configuration": capacity_spreading.measure,
    "State and configuration": capacity_state.measure,
    "Memory of imports": capacity_imports.measure,
}


def describe_commit() -> str:
    """Returns the measured commit as `git describe` names it."""
    command = ["git", "describe", "--always", "--dirty", "--exclude=*"]
    try:
        done = subprocess.run(command, capture_output=True, text=True)
    except OSError:
        return "unknown"
    return done.stdout.strip() or "unknown"


def format_header() -> list[str]:
    """Formats the head of the page: time, commit and machine."""
    now = datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%d %H:%M")
    return [
        "# Capacity, as measured",
        "",
        "Written by `make capacity`; don't edit. A slope is fitted to the",
        "points beside it, each a load and a reading.",
        "",
        f"- begun: {now} UTC, commit {describe_commit()}",
        f"- machine: {os.cpu_count()} cores shared with other work, Python"
        f" {platform.python_version()}, all processes on loopback",
        f"- load average at the beginning: {os.getloadavg()[0]:.1f}",
    ]


def format_section(
    title: str, measures: list[capacity_probe.Measure]
) -> list[str]:
    """Formats the measures of one section as a Markdown table."""
    rows = [
        f"| `{m.key}` | {m.what} | {m.value:.4g} {m.unit} | {m.points} |"
        for m in measures
    ]
    head = ["| name | what | value | points |", "|---|---|---|---|"]
    return ["", f"## {title}", "", *head, *rows]


def main() -> None:
    """Writes the page with all sections, or prints the sections selected."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--only",
        choices=list(SECTIONS),
        action="append",
        help="print this part instead of writing the page",
    )
    options = parser.parse_args()
    lines = format_header()
    collected: list[capacity_probe.Measure] = []
    for title in options.only or SECTIONS:
        print(f"measuring: {title}", flush=True)
        measures = SECTIONS[title]()
        lines += format_section(title, measures)
        collected += measures
    lines += capacity_projection.format_estimates(collected)
    lines += ["", f"Load average at the end: {os.getloadavg()[0]:.1f}"]
    text = "\n".join(lines) + "\n"
    if options.only:
        print(text)
    else:
        TABLE.write_text(text)
        print(f"written: {TABLE}")


if __name__ == "__main__":
    main()
