"""Reads saved statuses and aggregates them: histograms and fairness gaps."""

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
    """Decodes a status from JSON.

    Raises:
        errors.SettingsRefused: The data is not a status.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.SettingsRefused(f"not a status: {error}") from error


def read_snapshots(paths: Iterable[str]) -> list[Snapshot]:
    """Reads files with one status per line, as printed by `status --json`.

    Args:
        paths: Paths of the files.

    Returns:
        The statuses, ordered by the time at which they were taken.

    Raises:
        errors.SettingsRefused: A file can't be read, or a line isn't a status.
    """
    found = [status for path in paths for status in _read_file(path)]
    return sorted(found, key=lambda status: status.taken_at)


def _read_file(path: str) -> Iterator[Snapshot]:
    try:
        lines = pathlib.Path(path).read_bytes().splitlines()
    except OSError as error:
        raise errors.SettingsRefused(f"{path}: {error}") from error
    for number, line in enumerate(lines, start=1):
        if line.strip():
            try:
                yield decode_snapshot(line)
            except errors.SettingsRefused as error:
                raise errors.SettingsRefused(
                    f"{path}: line {number}: {error}"
                ) from error


TimesByKind = dict[tuple[str, str], dict[str, histogram.HdrHistogram]]
"""Histograms by (service, kind of time), then by team."""


def merge_times(snapshots: Sequence[Snapshot]) -> TimesByKind:
    """Merges the histograms of several processes.

    If there are statuses of routers, only their histograms are merged: their
    times include the wait of the callers.

    Args:
        snapshots: Statuses in the order in which they were taken; only the
            last one of each process is used.

    Returns:
        Histograms by (service, kind of time), then by team.
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
    """Fairness gap at one time.

    Attributes:
        at: Time in seconds since 1970.
        gap: Largest gap over all windows that end at this time, in cost units
            per weight.
    """

    at: float
    gap: float


@dataclasses.dataclass(slots=True)
class _LeadRange:
    """Lead of one team over another while both have waiting requests.

    The lead is the difference of their received service per weight. `least`
    and `most` cover the statuses since both teams have waiting requests.

    Attributes:
        now: Lead at the last status.
        least: Smallest lead.
        most: Largest lead.
    """

    now: float
    least: float
    most: float


def compute_gaps(snapshots: Sequence[Snapshot]) -> dict[str, list[GapPoint]]:
    """Computes the fairness gap over time, by service.

    The gap is the largest difference in received service per weight between
    two teams over a window in which both had waiting requests. It is an
    estimate whose resolution is the interval between statuses: queues that
    were empty and gaps that occurred only between two statuses are missed.

    Args:
        snapshots: Statuses in the order in which they were taken. For each
            service, those of the sidecar with the most statuses are used;
            one sidecar is enough since each knows the accounts of all.

    Returns:
        Gaps in chronological order, by service.
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
