"""The log never blocks the process, whatever its reader does."""

import contextlib
import json
import os

import eliot
import pytest

from sycamorefall import errors, observation, settings
from sycamorefall.observation import log, nonblocking_output


@pytest.fixture
def opened():
    """Opens logs as a process does and removes them after the test."""
    writers = []

    def open_at(destination, level="info"):
        config = settings.LogSettings(destination=destination, level=level)
        writers.append(observation.open_log(config))
        return writers[-1]

    yield open_at
    for writer in writers:
        eliot.remove_destination(writer)
    log._threshold = observation.Level.OFF


def write_many(count):
    for number in range(count):
        observation.write_record(
            observation.Level.INFO, "test", number=number, text="x" * 500
        )


def read_all(reader):
    parts = []
    with contextlib.suppress(BlockingIOError):
        while part := os.read(reader, 1 << 16):
            parts.append(part)
    return b"".join(parts)


def test_slow_reader_neither_blocks_process_nor_fills_memory(opened):
    """The reader of the log's pipe stops reading and later continues.

    A blocking write would stop the event loop with all its requests; an
    unbounded buffer would grow until the process is killed.
    """
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    log_writer = opened(f"/proc/self/fd/{writer}")
    write_many(2000)
    lost = log_writer.dropped
    assert lost > 0
    text = b""
    while part := read_all(reader):
        text += part
        log_writer.flush()
    records = [json.loads(line) for line in text.splitlines()]
    numbers = [r["number"] for r in records if r["message_type"] == "test"]
    assert numbers == list(range(2000 - lost))
    assert records[-1]["message_type"] == "log.dropped"
    assert records[-1]["records"] == lost


@pytest.mark.parametrize("closes", [False, True])
def test_full_disk_and_closed_pipe_are_counted(opened, closes):
    reader, writer = os.pipe()
    path = f"/proc/self/fd/{writer}" if closes else "/dev/full"
    log_writer = opened(path)
    os.close(reader)
    write_many(100)
    assert log_writer.dropped >= 100


def test_shared_descriptor_keeps_blocking_mode():
    reader, writer = os.pipe()
    write = nonblocking_output.reopen_nonblocking(writer)
    assert write(b"a line\n") == 7
    assert os.get_blocking(writer)
    assert os.read(reader, 100) == b"a line\n"


def test_clients_can_not_flood_the_log(opened, tmp_path, monkeypatch):
    """Records that any client can cause don't displace all other records."""
    now = 100.0
    monkeypatch.setattr(log.time, "monotonic", lambda: now)
    log._rate_limits.clear()
    path = tmp_path / "log"
    opened(str(path))
    for _ in range(50):
        observation.write_rate_limited(observation.Level.WARNING, "refused")
    now += 1.0
    observation.write_rate_limited(observation.Level.WARNING, "refused")
    records = [json.loads(line) for line in path.read_text().splitlines()]
    assert [record["left_out"] for record in records] == [0, 49]


def test_records_below_the_level_are_excluded(opened, tmp_path):
    path = tmp_path / "log"
    opened(str(path), level="warning")
    observation.write_record(observation.Level.INFO, "lesser")
    observation.write_record(observation.Level.WARNING, "greater")
    assert observation.start_action("request") is None
    (line,) = path.read_text().splitlines()
    assert json.loads(line)["message_type"] == "greater"


def test_destination_that_can_not_be_opened_is_refused(opened, tmp_path):
    with pytest.raises(errors.SettingsRefused, match="log destination"):
        opened(str(tmp_path / "absent" / "log"))
