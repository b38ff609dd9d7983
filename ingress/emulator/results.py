"""Results of an experiment on disk: one JSON line per run, synced to disk before the next one is added.

A line that was truncated by a kill is removed when the file is opened again, and its run is repeated.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from ingress.emulator.experiment import Experiment
from ingress.emulator.shrink import to_toml
from ingress.errors import IngressError

RUNS_FILE = "plays.jsonl"
EXPERIMENT_FILE = "experiment.toml"


class ResultsError(IngressError):
    """The results in a folder can't be used; the message names the file and the reason."""


class Results:
    """The results of one experiment, in a folder of their own.

    Attributes:
        folder: The absolute path of the folder.
        path: The file with a line for each run.
        digest: The digest of the experiment, stored with each result.
        rows: The result of each version and seed.
    """

    def __init__(self, folder: Path, experiment: Experiment) -> None:
        folder = folder.resolve()  # a run has the source tree of its version as its working directory
        self.folder = folder
        self.path = folder / RUNS_FILE
        folder.mkdir(parents=True, exist_ok=True)
        (folder / EXPERIMENT_FILE).write_text(to_toml(experiment), encoding="utf-8")
        self.digest = experiment.digest()
        self.rows = read_runs(self.path) if self.path.exists() else []
        self._reject_other_experiments()
        self._rewrite_without_stale_lines()

    def _reject_other_experiments(self) -> None:
        if any(row["digest"] != self.digest for row in self.rows):
            raise ResultsError(f"{self.path} contains results of another experiment: choose another folder")

    def _rewrite_without_stale_lines(self) -> None:
        """Remove a truncated last line, and results that a later run replaced."""
        if self.path.exists():
            text = "".join(json.dumps(row) + "\n" for row in self.rows)
            if self.path.read_text(encoding="utf-8") != text:
                draft = self.path.with_suffix(".draft")
                draft.write_text(text, encoding="utf-8")
                draft.replace(self.path)

    def done(self) -> set[tuple[str, int]]:
        """Return each version and seed whose run was completed."""
        return {(row["version"], row["seed"]) for row in self.rows if row["result"]["exact"]["whole"]}

    def add(self, version: str, seed: int, result: dict[str, Any]) -> None:
        """Store the result of a run in place of an earlier one of this version and seed; it is on disk on return."""
        row = {"digest": self.digest, "version": version, "seed": seed, "result": result}
        others = [other for other in self.rows if (other["version"], other["seed"]) != (version, seed)]
        self.rows = [*others, row]
        with self.path.open("a", encoding="utf-8") as file:
            file.write(json.dumps(row) + "\n")
            file.flush()
            os.fsync(file.fileno())


def read_runs(path: Path) -> list[dict[str, Any]]:
    """Read the runs in a file: the last one of each version and seed; a truncated last line is ignored.

    Raises:
        ResultsError: The file can't be read, or a line before the last one is not a result.
    """
    try:
        lines = path.read_text(encoding="utf-8").split("\n")
    except (OSError, UnicodeDecodeError) as error:
        raise ResultsError(f"cannot read the results in {path}: {error}") from None
    rows: dict[tuple[str, int], dict[str, Any]] = {}
    for number, line in enumerate(lines):
        if not line:
            continue
        try:
            row = json.loads(line)
            rows[row["version"], row["seed"]] = row
        except (ValueError, KeyError, TypeError):
            if number < len(lines) - 1:
                raise ResultsError(
                    f"{path}: line {number + 1} is not a JSON object with a version and a seed"
                ) from None
    return list(rows.values())
