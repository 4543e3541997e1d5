"""Saved statuses, and what follows from several of them."""

__all__ = [
    "GapPoint",
    "Snapshot",
    "compute_gaps",
    "merge_times",
    "read_snapshots",
]

from collections.abc import Iterable, Iterator, Sequence
import dataclasses
import itertools
import pathlib

from hdrh import histogram
import msgspec

from sycamorefall import errors
from sycamorefall.observation import status as status_module

Snapshot = status_module.RouterStatus | status_module.SidecarStatus

_decoder = msgspec.json.Decoder(Snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """Decodes a status.

    Raises:
        errors.SettingsRefused: The bytes are no status.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise errors.SettingsRefused(f"not a status: {fault}") from fault


def read_snapshots(paths: Iterable[str]) -> list[Snapshot]:
    """Reads files with one status a line, as `status --json` prints them.

    Args:
        paths: The files.

    Returns:
        The statuses in the order in which they were taken.

    Raises:
        errors.SettingsRefused: A file can't be read, or a line is no status.
    """
    found = [status for path in paths for status in _read_file(path)]
    return sorted(found, key=lambda status: status.taken_at)


def _read_file(path: str) -> Iterator[Snapshot]:
    try:
        lines = pathlib.Path(path).read_bytes().splitlines()
    except OSError as fault:
        raise errors.SettingsRefused(f"{path}: {fault}") from fault
    for number, line in enumerate(lines, start=1):
        if line.strip():
            try:
                yield decode_snapshot(line)
            except errors.SettingsRefused as fault:
                raise errors.SettingsRefused(
                    f"{path}: line {number}: {fault}"
                ) from fault


TimesByKind = dict[tuple[str, str], dict[str, histogram.HdrHistogram]]
"""Histograms by team, by (service, time)."""


def merge_times(snapshots: Sequence[Snapshot]) -> TimesByKind:
    """Adds up the histograms of several processes.

    Callers wait at routers, so those are shown if there are any.

    Args:
        snapshots: Statuses, the last one of each process counts.

    Returns:
        Histograms by team, by service and kind of time.
    """
    last = {(s.vm, s.incarnation): s for s in snapshots}.values()
    routers = [s for s in last if isinstance(s, status_module.RouterStatus)]
    merged: TimesByKind = {}
    for status in routers or last:
        for entry in status.times:
            if entry.encoded:
                decoded = histogram.HdrHistogram.decode(entry.encoded)
                teams = merged.setdefault((entry.service, entry.time), {})
                if entry.team in teams:
                    teams[entry.team].add(decoded)
                else:
                    teams[entry.team] = decoded
    return merged


@dataclasses.dataclass(slots=True, frozen=True)
class GapPoint:
    """The fairness gap at a time.

    Attributes:
        at: When, in seconds since 1970.
        gap: The gap over all windows that end then, in cost units.
    """

    at: float
    gap: float


@dataclasses.dataclass(slots=True)
class _LeadRange:
    """How far one team is ahead of another while both have work waiting.

    Attributes:
        now: At the last status.
        least: The least since both have work waiting.
        most: The most since then.
    """

    now: float
    least: float
    most: float


def compute_gaps(snapshots: Sequence[Snapshot]) -> dict[str, list[GapPoint]]:
    """Computes the fairness gap over time, by service.

    The gap is the largest difference in service per weight that two teams
    received over a window in which both had work waiting. It is an estimate,
    as fine as the statuses are frequent: a queue that was empty between two
    of them goes unseen, and so does a gap that came and went.

    Args:
        snapshots: Statuses in the order in which they were taken. Of each
            service, those of the sidecar with the most are used: each
            sidecar knows the accounts of all.

    Returns:
        Points in the order of time, by service.
    """
    sidecars = [
        s for s in snapshots if isinstance(s, status_module.SidecarStatus)
    ]
    by_vm: dict[tuple[str, str, int], list[status_module.SidecarStatus]] = {}
    for status in sidecars:
        key = (status.service, status.vm, status.incarnation)
        by_vm.setdefault(key, []).append(status)
    longest = sorted(by_vm.items(), key=lambda item: len(item[1]))
    chosen = {service: series for (service, _, _), series in longest}
    return {
        service: _compute_series(series)
        for service, series in sorted(chosen.items())
    }


def _compute_series(
    series: list[status_module.SidecarStatus],
) -> list[GapPoint]:
    leads: dict[tuple[str, str], _LeadRange] = {}
    points: list[GapPoint] = []
    for status in series:
        received = {
            team.team: team.served / team.weight
            for team in status.teams
            if team.waiting
        }
        pairs = itertools.combinations(sorted(received), 2)
        current = {
            (one, other): received[one] - received[other]
            for one, other in pairs
        }
        leads = {
            pair: _extend_range(leads.get(pair), lead)
            for pair, lead in current.items()
        }
        gaps = [
            max(lead.most - lead.now, lead.now - lead.least)
            for lead in leads.values()
        ]
        points.append(GapPoint(status.taken_at, max(gaps, default=0.0)))
    return points


def _extend_range(known: _LeadRange | None, lead: float) -> _LeadRange:
    if known is None:
        return _LeadRange(lead, lead, lead)
    return _LeadRange(lead, min(known.least, lead), max(known.most, lead))
