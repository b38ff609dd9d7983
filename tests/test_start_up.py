"""The program must not import slow modules, because every upgrade includes its start-up time."""

from __future__ import annotations

import subprocess
import sys


def loaded_modules() -> set[str]:
    """Return the names of all modules that the program imports."""
    code = "import sys, ingress.__main__; print(*sys.modules)"
    return set(subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout.split())


def test_the_program_imports_no_http_client_library() -> None:
    assert "ingress.discovery.client" in loaded_modules()  # The program was imported.
    assert not {"aiohttp", "http.client", "urllib.request", "email"} & loaded_modules()


def test_the_program_imports_no_dataclasses() -> None:
    """Dataclasses generate their methods at import; before they were removed, this was a third of the start-up time."""
    # `msgspec` shows that the program was imported.
    assert "msgspec" in loaded_modules() and "dataclasses" not in loaded_modules()
