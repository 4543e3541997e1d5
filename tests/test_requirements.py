import pathlib
import tomllib

ROOT = pathlib.Path(__file__).parent.parent


def test_deployed_dependencies_match_the_package():
    # Guards against a library that is added to the package but not to the
    # deployment: all tests pass, but processes don't start on target machines.
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    deployed = (ROOT / "requirements.txt").read_text().splitlines()
    assert deployed == project["project"]["dependencies"]
