"""Explanations of requests from complete, incomplete and unusual logs."""

import json

import pytest

from sycamorefall import errors
from sycamorefall.observation import request_explanation


def write_log(path, *records):
    lines = []
    for number, record in enumerate(records):
        common = {"timestamp": 100.0 + number, "task_uuid": "t"}
        lines.append(json.dumps(common | record))
    path.write_text("\n".join(lines))
    return str(path)


START = {
    "action_type": "request",
    "action_status": "started",
    "request_id": "r1",
    "target": 0.5,
}
SENT = {"message_type": "request.handed_out", "sidecar": "e1"}


def end(**fields):
    common = {"action_type": "request", "action_status": "succeeded"}
    return common | fields


def test_missing_end_of_killed_process_is_reported(tmp_path):
    # A router is killed while it streams a response, so its log has no record
    # of the end.
    log = write_log(tmp_path / "front-1.log", START, SENT)
    found = request_explanation.explain_request("r1", [log])
    assert "no end is recorded" in found.causes[0]
    assert "the process ended" in found.missing[0]


def test_dropped_records_are_reported(tmp_path):
    # Records are missing since the log reader was too slow. Their absence must
    # not look as if nothing had happened.
    lost = {"message_type": "log.dropped", "records": 7, "task_uuid": "x"}
    log = write_log(tmp_path / "a.log", START, lost, end(result="cancelled"))
    found = request_explanation.explain_request("r1", [log])
    assert "7 records" in found.missing[0]


def test_records_of_several_logs_are_ordered_by_time(tmp_path):
    # A request was refused by one router and served by another.
    platform_lost = {"message_type": "platform.lost", "task_uuid": "x"}
    first = write_log(
        tmp_path / "a.log",
        platform_lost,
        START,
        end(result="not_ready", ran="no"),
    )
    late = end(result="answered", status=200, first_seconds=0.9)
    second = write_log(
        tmp_path / "b.log", {"task_uuid": "y"}, START, SENT, late
    )
    found = request_explanation.explain_request("r1", [second, first])
    kinds = [
        (record.log, record.kind) for record in found.records if record.kind
    ]
    assert kinds[0] == ("a.log", "platform.lost")
    assert [record.at for record in found.records] == sorted(
        record.at for record in found.records
    )
    text = request_explanation.format_explanation(found)
    assert "late: it began after 0.9 s, 0.5 s were allowed" in text


def test_text_other_than_records_is_skipped(tmp_path):
    # Log collectors put a prefix before records, and other programs write to
    # the same log.
    path = tmp_path / "a.log"
    log = write_log(path, START, end(result="answered", status=200))
    lines = path.read_text().splitlines()
    path.write_text(
        f"12.5 front-1 {lines[0]}\n{{broken\nTraceback\n\xff\n{lines[1]}\n"
    )
    found = request_explanation.explain_request("r1", [log])
    assert found.causes == ("a.log: answered with status 200",)
    assert not found.missing


def test_unknown_request_is_refused(tmp_path):
    # A mistyped id must not result in an empty explanation.
    log = write_log(tmp_path / "a.log", START)
    with pytest.raises(errors.SettingsRefused):
        request_explanation.explain_request("r2", [log])
