"""Arguments, output and exit status of the `sycamorefall` command."""

import pathlib
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
    data, control, platform = fleet_module.reserve_ports(3)
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
def test_check_reports_line_and_reason(tmp_path, capsys, text, expected):
    assert command.main(["check", write_file(tmp_path, text)]) == 2
    output = capsys.readouterr().err
    assert expected in output
    assert output.count("\n") == 1


@pytest.mark.parametrize(
    ("extra", "expected"),
    [
        ("[limits]\nmax_body_bytes = many\n", "max_body_bytes"),
        ("[limits]\nsize = 3\n", "size"),
        ("[odd]\n", "odd"),
    ],
)
def test_router_rejects_invalid_settings(tmp_path, capsys, extra, expected):
    path, _ = write_settings(tmp_path, extra)
    assert command.main(["router", path]) == 2
    output = capsys.readouterr().err
    assert expected in output
    assert output.count("\n") == 1


def test_router_rejects_an_address_in_use(tmp_path, capsys):
    path, data = write_settings(tmp_path)
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", data))
        listener.listen()
        assert command.main(["router", path]) == 2
    output = capsys.readouterr().err
    assert "Address already in use" in output
    assert output.count("\n") == 1


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (("name = entry-1\n", ""), "[vm] misses name"),
        (("[platform]", "[plattform]"), "line 8: [plattform]"),
        (("name = entry-1", "name = a b"), "line 3: [vm] name"),
        (
            ("[vm]\nname = entry-1", "[vm\nname = entry-1"),
            "line 2: text before",
        ),
        (("name = entry-1", "name = a\nname = b"), "name"),
        (("[vm]", "[DEFAULT]\nname = a\n[vm]"), "[DEFAULT]"),
        (("address = 127.0.0.1", "address = localhost"), "localhost"),
        (("address = 127.0.0.1", "address = 127.0.0.256"), "127.0.0.256"),
        (("[platform]", "[limits]\nmax_connections=0\n[platform]"), "line 9"),
        (("[platform]", "[log]\nlevel = loud\n[platform]"), "line 9"),
        (("[platform]", "[upstream]\nservice = a\n[platform]"), "address"),
    ],
)
def test_check_reports_errors_in_settings(tmp_path, capsys, change, expected):
    text = SETTINGS.format(data=7400, control=7401, platform=7500)
    changed = text.replace(*change)
    assert changed != text
    assert command.main(["check", write_file(tmp_path, changed)]) == 2
    output = capsys.readouterr().err
    assert expected in output
    assert output.count("\n") == 1


def test_check_rejects_duplicate_addresses(tmp_path, capsys):
    text = SETTINGS.format(data=7400, control=7400, platform=7500)
    assert command.main(["check", write_file(tmp_path, text)]) == 2
    assert "are both 127.0.0.1:7400" in capsys.readouterr().err


@pytest.mark.parametrize("data", [b"\xff\xfe[vm]", b"[service \x00]\nkind"])
def test_check_rejects_bytes_that_are_not_text(tmp_path, capsys, data):
    path = tmp_path / "file.ini"
    path.write_bytes(data)
    assert command.main(["check", str(path)]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_check_warns_of_a_text_without_services(tmp_path, capsys):
    assert command.main(["check", write_file(tmp_path, "")]) == 0
    assert "every request is refused" in capsys.readouterr().out


EXAMPLES = sorted(pathlib.Path(__file__).parents[1].glob("examples/**/*.ini"))


@pytest.mark.parametrize(
    "path", EXAMPLES, ids=lambda path: "-".join(path.parts[-2:])
)
def test_examples_are_valid(path, capsys):
    assert command.main(["check", str(path)]) == 0
    assert "valid" in capsys.readouterr().out


def test_all_examples_are_found():
    assert len(EXAMPLES) == 7


@pytest.mark.parametrize(
    "name", ["router", "sidecar", "check", "status", "report"]
)
def test_each_command_has_help(name, capsys):
    with pytest.raises(SystemExit) as exit_info:
        command.main([name, "--help"])
    assert exit_info.value.code == 0
    assert len(capsys.readouterr().out.splitlines()) > 10


def test_report_rejects_a_file_without_statuses(tmp_path, capsys):
    path = write_file(tmp_path, '{"role": "router"}\n')
    page = str(tmp_path / "page.html")
    assert command.main(["report", path, "-o", page]) == 2
    assert "line 1: not a status" in capsys.readouterr().err


def test_status_of_an_unreachable_process_is_one_line(capsys):
    port = fleet_module.reserve_ports(1)[0]
    assert command.main(["status", f"127.0.0.1:{port}"]) == 2
    assert capsys.readouterr().err.count("\n") == 1
