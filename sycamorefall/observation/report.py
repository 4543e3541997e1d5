"""Plots time histograms and the fairness gap from saved statuses."""

__all__ = ["write_report"]

import base64
from collections.abc import Sequence
import html
import io
import pathlib

from hdrh import histogram

from sycamorefall import errors
from sycamorefall.observation import histograms as histograms_module
from sycamorefall.observation import snapshots as snapshots_module
from sycamorefall.observation import tables

MAX_CURVES = 8
"""Maximum number of teams in one panel; those with the most requests."""

POINTS = 64
"""Number of points of a plotted curve."""

_PAGE = """\
<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>{title}</title>
<style>
body {{ font-family: sans-serif; max-width: 75em; margin: 2em auto; }}
img {{ max-width: 100%; }}
pre {{ overflow-x: auto; font-size: 85%; }}
</style>
<h1>{title}</h1>
<p>{summary}</p>
<img alt="histograms and fairness gap" src="data:image/png;base64,{image}">
{statuses}
</html>
"""


def write_report(
    snapshots: Sequence[snapshots_module.Snapshot], path: str
) -> None:
    """Writes a report as a self-contained HTML page or a PNG image.

    Args:
        snapshots: Statuses in the order in which they were taken.
        path: Path of the file; its suffix, `.html` or `.png`, selects the
            format.

    Raises:
        errors.SettingsRefused: There is nothing to plot, the file can't be
            written, or matplotlib isn't installed.
    """
    suffix = pathlib.Path(path).suffix.lower()
    if suffix not in (".html", ".png"):
        raise errors.SettingsRefused(f"{path}: expected .html or .png")
    picture = _draw(snapshots)
    data = picture if suffix == ".png" else _format_page(snapshots, picture)
    try:
        pathlib.Path(path).write_bytes(data)
    except OSError as error:
        raise errors.SettingsRefused(f"{path}: {error}") from error


def _draw(snapshots: Sequence[snapshots_module.Snapshot]) -> bytes:
    try:
        from matplotlib import figure
    except ImportError as error:
        raise errors.SettingsRefused(
            "report needs matplotlib: pip install 'sycamorefall[report]'"
        ) from error
    times = snapshots_module.merge_times(snapshots)
    gaps = snapshots_module.compute_gaps(snapshots)
    panels = len(times) + len(gaps)
    if not panels:
        raise errors.SettingsRefused("the statuses contain nothing to plot")
    rows = (panels + 1) // 2
    drawing = figure.Figure(figsize=(13, 3.6 * rows), layout="constrained")
    axes = drawing.subplots(rows, 2, squeeze=False).flat
    colours = _choose_colours(times)
    for (service, time), teams in sorted(times.items()):
        _draw_times(next(axes), service, time, teams, colours)
    for service, points in gaps.items():
        _draw_gap(next(axes), service, points)
    for unused in axes:
        unused.set_axis_off()
    output = io.BytesIO()
    drawing.savefig(output, format="png", dpi=110)
    return output.getvalue()


def _choose_colours(times: snapshots_module.TimesByKind) -> dict[str, str]:
    """Assigns each team a colour that is the same in all panels."""
    teams = sorted({team for panel in times.values() for team in panel})
    return {team: f"C{number % 10}" for number, team in enumerate(teams)}


def _draw_times(
    axis,
    service: str,
    time: str,
    teams: dict[str, histogram.HdrHistogram],
    colours: dict[str, str],
) -> None:
    busiest = sorted(teams, key=lambda team: -teams[team].get_total_count())
    for team in busiest[:MAX_CURVES]:
        counts = teams[team]
        seconds, shares = _list_curve(counts)
        name = team or tables.OTHER_TEAMS_LABEL
        label = f"{name}: {counts.get_total_count()}"
        axis.plot(seconds, shares, label=label, color=colours[team])
    left_out = len(busiest) - MAX_CURVES
    more = f", {left_out} more teams not shown" if left_out > 0 else ""
    axis.set_title(f"{service}: {time.replace('_', ' ')}{more}")
    axis.set_xscale("log")
    # Labels of minor ticks would overlap on an axis that spans one decade.
    axis.xaxis.set_minor_formatter("")
    axis.set_xlabel("seconds")
    axis.set_ylabel("cumulative fraction")
    axis.set_ylim(0, 1.02)
    axis.grid(alpha=0.3)
    axis.legend(fontsize="small", loc="lower right")


def _list_curve(
    counts: histogram.HdrHistogram,
) -> tuple[list[float], list[float]]:
    shares = [point / POINTS for point in range(1, POINTS + 1)]
    found = counts.get_percentile_to_value_dict([100 * s for s in shares])
    unit = histograms_module.UNITS_PER_SECOND
    return [value / unit for value in found.values()], shares


def _draw_gap(
    axis, service: str, points: list[snapshots_module.GapPoint]
) -> None:
    start = points[0].at
    axis.plot(
        [point.at - start for point in points],
        [point.gap for point in points],
        marker="." if len(points) < 100 else None,
        color="black",
    )
    axis.set_title(f"{service}: fairness gap")
    axis.set_xlabel("seconds since the first status")
    axis.set_ylabel("cost units per weight")
    axis.set_ylim(bottom=0)
    axis.grid(alpha=0.3)


def _format_page(
    snapshots: Sequence[snapshots_module.Snapshot], picture: bytes
) -> bytes:
    last = {status.vm: status for status in snapshots}
    seconds = snapshots[-1].taken_at - snapshots[0].taken_at
    shown = "".join(
        f"<h2>{html.escape(vm)}</h2>\n"
        f"<pre>{html.escape(tables.format_status(status))}</pre>\n"
        for vm, status in sorted(last.items())
    )
    return _PAGE.format(
        title="sycamorefall report",
        summary=f"{len(snapshots)} statuses of {len(last)} processes over "
        f"{seconds:.0f} s. Below the plots: the last status of each process.",
        image=base64.b64encode(picture).decode(),
        statuses=shown,
    ).encode()
