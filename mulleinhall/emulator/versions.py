"""Versions of the ingress: the package as a git revision has it, with this emulator over it."""

from __future__ import annotations

import io
import shutil
import subprocess
import tarfile
from pathlib import Path

PACKAGE = "mulleinhall"
HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent


class NoSuchVersion(Exception):
    """The revision can't be laid out; the text says why."""


def lay_out(revision: str, folder: Path) -> Path:
    """A folder to start Python from: that of the work tree, or a new one with the package of `revision`."""
    if not revision:
        return ROOT
    commit = _git("rev-parse", "--verify", "--quiet", "--end-of-options", f"{revision}^{{commit}}")
    if commit.returncode:
        raise NoSuchVersion(f"{revision!r} is no revision of this repository")
    name = commit.stdout.decode().strip()
    tree = folder / name[:12]
    if tree.is_dir():
        return tree
    packed = _git("archive", "--format=tar", name, PACKAGE)
    if packed.returncode:
        raise NoSuchVersion(f"{revision!r} has no {PACKAGE}: {packed.stderr.decode().strip()}")
    draft = folder / f"{name[:12]}.draft"
    shutil.rmtree(draft, ignore_errors=True)
    with tarfile.open(fileobj=io.BytesIO(packed.stdout)) as archive:
        archive.extractall(draft, filter="data")
    shutil.rmtree(draft / PACKAGE / HERE.name, ignore_errors=True)
    shutil.copytree(HERE, draft / PACKAGE / HERE.name, ignore=shutil.ignore_patterns("__pycache__"))
    draft.rename(tree)
    return tree


def _git(*words: str) -> subprocess.CompletedProcess[bytes]:
    try:
        return subprocess.run(["git", *words], cwd=ROOT, capture_output=True, check=False)
    except OSError as error:
        raise NoSuchVersion(f"git: {error}") from None
