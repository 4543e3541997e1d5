"""A short run of the soak with a fixed seed."""

import subprocess
import sys

MIN_REQUESTS = 200


def test_short_soak_keeps_all_promises(tmp_path):
    # Guards against requests that real routers lose around planned work while
    # upstreams change or stand still, links are silent and stops are noticed
    # late.
    finished = subprocess.run(
        [
            *(sys.executable, "-m", "soak", "--first", "7"),
            *("--seconds", "30", "--routers", "3", "--engines", "4"),
            *("--callers", "40"),
            *("--faults", "silence,links,store,late,upstreams"),
            *("--folder", str(tmp_path)),
        ],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert finished.returncode == 0, finished.stdout + finished.stderr
    verdicts = finished.stdout.splitlines()
    assert len(verdicts) == 1
    assert int(verdicts[0].split('"requests": ')[1].split(",")[0]) > (
        MIN_REQUESTS
    )
    assert '"stops": 0' not in verdicts[0]
