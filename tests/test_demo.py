"""The demo session of the README."""

import subprocess
import sys
from pathlib import Path

SCRIPTS = Path(__file__).resolve().parents[1] / "scripts"
MAX_SECONDS = 60


def test_demo_serves_its_requests_and_ends():
    """Guards against a first command of the README that fails."""
    result = subprocess.run(
        [sys.executable, SCRIPTS / "demo.py"],
        capture_output=True,
        text=True,
        timeout=MAX_SECONDS,
        check=False,
    )
    assert result.returncode == 0, result.stderr
    assert result.stdout.splitlines()[-1] == "demo succeeded"
