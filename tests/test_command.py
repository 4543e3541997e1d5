"""The command line: what operators type, and what they are told."""

import socket

import pytest

from standins import fleet as fleet_module
from sycamorefall import command

SETTINGS = """
[vm]
name = entry-1
failure_domain = veszprem
[listen]
data = 127.0.0.1:{data}
control = 127.0.0.1:{control}
[platform]
address = 127.0.0.1:{platform}
"""


def write_file(tmp_path, text):
    path = tmp_path / "file.ini"
    path.write_text(text)
    return str(path)


def write_settings(tmp_path, extra=""):
    data, control, platform = fleet_module.find_ports(3)
    text = SETTINGS.format(data=data, control=control, platform=platform)
    return write_file(tmp_path, text + extra), data


def test_check_accepts_valid_files(tmp_path, capsys):
    path, _ = write_settings(tmp_path)
    assert command.main(["check", path]) == 0
    text = "[service a]\nkind = plain\n"
    assert command.main(["check", write_file(tmp_path, text)]) == 0
    assert "1 services, 0 teams" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[service a]\nkind = odd\n", "line 2"),
        ("[service a]\nkind = plain\nsize = 3\n", "line 3"),
        ("[service a]\nkind = plain\ndepends_on = b\n", "unknown b"),
        ("[team a]\nweight = 0\n", "line 2"),
        ("[team a]\n[team  a]\n", "team a is listed twice"),
        ("[teams]\n", "unknown section [teams]"),
        ("no section\n", "line 1"),
    ],
)
def test_check_names_line_and_reason(tmp_path, capsys, text, expected):
    assert command.main(["check", write_file(tmp_path, text)]) == 2
    printed = capsys.readouterr().err
    assert expected in printed
    assert printed.count("\n") == 1


@pytest.mark.parametrize(
    ("extra", "expected"),
    [
        ("[limits]\nmax_body_bytes = many\n", "max_body_bytes"),
        ("[limits]\nsize = 3\n", "size"),
        ("[odd]\n", "odd"),
    ],
)
def test_router_refuses_bad_settings(tmp_path, capsys, extra, expected):
    path, _ = write_settings(tmp_path, extra)
    assert command.main(["router", path]) == 2
    printed = capsys.readouterr().err
    assert expected in printed
    assert printed.count("\n") == 1


def test_router_refuses_address_in_use(tmp_path, capsys):
    path, data = write_settings(tmp_path)
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", data))
        taken.listen()
        assert command.main(["router", path]) == 2
    printed = capsys.readouterr().err
    assert "Address already in use" in printed
    assert printed.count("\n") == 1


def test_status_of_nobody_is_one_clear_line(capsys):
    port = fleet_module.find_ports(1)[0]
    assert command.main(["status", f"127.0.0.1:{port}"]) == 2
    assert capsys.readouterr().err.count("\n") == 1
