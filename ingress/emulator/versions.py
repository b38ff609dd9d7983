"""Source trees of the ingress: the package at a git revision, together with an emulator that can run it.

This emulator runs revisions of this package.  Revisions from before the package was renamed are run by the last
emulator of the former package, since they share its names of events and actions.
"""

from __future__ import annotations

import io
import shutil
import subprocess
import tarfile
from pathlib import Path

from ingress.errors import IngressError

PACKAGE = "ingress"
FORMER_PACKAGE = "mulleinhall"
LAST_FORMER_REVISION = "41e8d9601f589f651fc3d5354b02ea8ad1417526"  # the last one with the former package name
COMMIT_ID_PREFIX_LENGTH = 12  # in the names of source trees
EMULATOR_FOLDER = Path(__file__).resolve().parent
REPOSITORY_ROOT = EMULATOR_FOLDER.parent.parent


class UnknownRevisionError(IngressError):
    """A revision can't be laid out as a source tree; the message says why."""


def package_of(tree: Path) -> str:
    """Return the name of the package in a source tree that `lay_out` made."""
    return PACKAGE if (tree / PACKAGE).is_dir() else FORMER_PACKAGE


def lay_out(revision: str, folder: Path) -> Path:
    """Make the source tree of a revision.

    Args:
        revision: The revision in any form that git resolves to a commit; empty for the work tree itself.
        folder: The folder for new source trees; a tree that exists there is reused.

    Returns:
        The working directory for `python -m`, with the package name that `package_of` returns.

    Raises:
        UnknownRevisionError: Git can't resolve the revision, or it contains neither package name.
    """
    if not revision:
        return REPOSITORY_ROOT
    parsed = _git("rev-parse", "--verify", "--quiet", "--end-of-options", f"{revision}^{{commit}}")
    if parsed.returncode:
        raise UnknownRevisionError(f"{revision!r} is not a revision of this repository")
    commit_id = parsed.stdout.decode().strip()
    tree = folder / commit_id[:COMMIT_ID_PREFIX_LENGTH]
    if tree.is_dir():
        return tree
    draft = folder / f"{commit_id[:COMMIT_ID_PREFIX_LENGTH]}.draft"
    shutil.rmtree(draft, ignore_errors=True)
    if not _git("cat-file", "-e", f"{commit_id}:{PACKAGE}").returncode:
        _extract(commit_id, PACKAGE, draft)
        emulator = draft / PACKAGE / EMULATOR_FOLDER.name
        shutil.rmtree(emulator, ignore_errors=True)
        shutil.copytree(EMULATOR_FOLDER, emulator, ignore=shutil.ignore_patterns("__pycache__"))
    else:
        _extract(commit_id, FORMER_PACKAGE, draft)
        emulator = draft / FORMER_PACKAGE / EMULATOR_FOLDER.name
        shutil.rmtree(emulator, ignore_errors=True)
        _extract(LAST_FORMER_REVISION, f"{FORMER_PACKAGE}/{EMULATOR_FOLDER.name}", draft)
    draft.rename(tree)
    return tree


def _extract(revision: str, path: str, folder: Path) -> None:
    archive_output = _git("archive", "--format=tar", revision, path)
    if archive_output.returncode:
        raise UnknownRevisionError(
            f"cannot extract {path} from revision {revision!r}: {archive_output.stderr.decode().strip()}"
        )
    with tarfile.open(fileobj=io.BytesIO(archive_output.stdout)) as archive:
        archive.extractall(folder, filter="data")


def _git(*arguments: str) -> subprocess.CompletedProcess[bytes]:
    try:
        return subprocess.run(["git", *arguments], cwd=REPOSITORY_ROOT, capture_output=True, check=False)
    except OSError as error:
        raise UnknownRevisionError(f"cannot run git: {error}") from None
