import pathlib
import tomllib

ROOT = pathlib.Path(__file__).parent.parent


def test_deployed_dependencies_are_those_of_the_package():
    # A library is added to the package and forgotten in the deployment: the
    # processes don't start on the target machines, though all tests pass.
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    deployed = (ROOT / "requirements.txt").read_text().splitlines()
    assert deployed == project["project"]["dependencies"]
