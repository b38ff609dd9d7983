"""Start-up, which every upgrade pays: what the program imports."""

from __future__ import annotations

import subprocess
import sys


def test_the_program_loads_no_web_client() -> None:
    code = "import sys, mulleinhall.__main__; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = done.stdout.split()
    assert "mulleinhall.net.discovery" in loaded
    assert not {"aiohttp", "http.client", "urllib.request", "email"} & set(loaded)
