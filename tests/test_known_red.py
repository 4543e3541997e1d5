"""Reading of `KNOWN-RED.txt`, the list of tests that are known to fail."""

import pytest

import conftest


def test_more_than_three_known_failures_are_an_error(tmp_path, monkeypatch):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("a | b | 1\n" * 4)
    monkeypatch.setattr(conftest, "KNOWN_RED", path)
    with pytest.raises(pytest.UsageError):
        conftest.read_known_red()
    path.write_text("a | b | 1\n")
    assert conftest.read_known_red() == {"a": "b (issue 1)"}
