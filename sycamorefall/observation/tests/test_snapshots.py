"""Fairness gaps and merged histograms computed from saved statuses."""

import msgspec
import pytest

from sycamorefall import observation
from sycamorefall.observation import histograms, snapshots, status

COMMON = {
    "vm": "engine-1",
    "incarnation": 1,
    "revision": 1,
    "refused_revision": 0,
    "refusal": "",
    "older_seen": 0,
    "vms_revision": 1,
    "unready": (),
    "stopping": False,
    "teams_total": 2,
    "peers": (),
    "control": status.ControlStatus(0, 0, 0, 0),
    "platform": status.PlatformStatus(0, 0, 0),
    "replication": status.ReplicationStatus(
        True, True, "", "", (), 0, 0, 0, 0, 0, 0
    ),
    "log_dropped": 0,
}


def create_sidecar_status(at, teams, times=()):
    shown = tuple(
        status.TeamStatus("a", team, waiting, None, weight, 0.0, served)
        for team, (waiting, weight, served) in teams.items()
    )
    return status.SidecarStatus(
        **COMMON,
        taken_at=at,
        teams=shown,
        times=times,
        service="a",
        running=0,
        claimed=0,
        limit=1,
    )


def test_gap_covers_only_times_when_both_teams_wait():
    """Service that a team receives while the other is idle is no gap."""
    series = [
        create_sidecar_status(0.0, {"x": (1, 1.0, 0.0), "y": (0, 2.0, 0.0)}),
        create_sidecar_status(1.0, {"x": (1, 1.0, 900.0), "y": (1, 2.0, 0.0)}),
        create_sidecar_status(2.0, {"x": (1, 1.0, 950.0), "y": (1, 2.0, 60.0)}),
        create_sidecar_status(
            3.0, {"x": (1, 1.0, 950.0), "y": (1, 2.0, 200.0)}
        ),
        create_sidecar_status(
            4.0, {"x": (0, 1.0, 950.0), "y": (1, 2.0, 900.0)}
        ),
    ]
    (points,) = snapshots.compute_gaps(series).values()
    assert [point.gap for point in points] == [0.0, 0.0, 20.0, 70.0, 0.0]


def test_histograms_of_several_processes_add_up(tmp_path):
    recorder = observation.Recorder()
    for seconds in (0.1, 0.2, 0.3):
        histograms.record_time(
            recorder.histograms, "a", "x", histograms.TimeKind.TOTAL, seconds
        )
    times = status.summarize_times(recorder.histograms, full_histograms=True)
    one = create_sidecar_status(1.0, {}, times)
    other = msgspec.structs.replace(one, vm="engine-2", taken_at=0.5)
    again = msgspec.structs.replace(one, taken_at=2.0)
    path = tmp_path / "saved"
    path.write_bytes(
        b"\n".join(msgspec.json.encode(s) for s in (one, other, again))
    )
    found = snapshots.read_snapshots([str(path)])
    assert [s.taken_at for s in found] == [0.5, 1.0, 2.0]
    merged = snapshots.merge_times(found)["a", "total"][histograms.OTHER_TEAMS]
    assert merged.get_total_count() == 6
    longest = merged.get_max_value() / histograms.UNITS_PER_SECOND
    assert longest == pytest.approx(0.3, rel=0.01)
