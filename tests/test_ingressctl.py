"""Tests of the command line: output, exit status, and the results that an interrupted command keeps."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from ingress.decisions.actions import Action, RejectRequest
from ingress.decisions.events import Event
from ingress.decisions.gateway import Gateway
from ingress.emulator import world
from ingress.emulator.compare import compare, interval, slow_seconds
from ingress.emulator.experiment import build_experiment, load_experiment
from ingress.emulator.measure import Latencies, decode_histogram, encode_histogram
from ingress.emulator.report import make_report, merge
from ingress.emulator.results import RUNS_FILE, Results, ResultsError, read_runs
from ingress.emulator.shrink import to_toml
from ingress.emulator.versions import LAST_FORMER_REVISION, UnknownRevisionError, lay_out, package_of
from ingress.ingressctl import main as cli
from tests.peers import config_text

ROOT = Path(__file__).resolve().parent.parent
LAST_UNDIVIDED_REVISION = "fd643acdc4be9bcf8808fa762ad7702078c69135"  # the last one with all decisions in one module
SMALL_EXPERIMENT: dict[str, Any] = {
    "name": "small",
    "seconds": 2.0,
    "seeds": [1, 2],
    "fleet": {"gateways": 2, "servers": 4},
    "load": {"use": 0.3},
    "faults": [{"kind": "burst", "at": 1, "lasts": 1, "factor": 2.0}],
}


def ingressctl(*arguments: str) -> Result:
    return CliRunner().invoke(cli.main, arguments)


def write_experiment(folder: Path, **changes: Any) -> Path:
    path = folder / "small.toml"
    path.write_text(to_toml(build_experiment(SMALL_EXPERIMENT | changes)), encoding="utf-8")
    return path


def test_help_lists_the_commands() -> None:
    text = ingressctl("--help").output
    for name in ("run", "check", "emulate", "load", "experiment", "report"):
        assert name in text
        assert "Usage: " in ingressctl(name, "--help").output
    assert "Status: 0" in text


def test_check_accepts_both_kinds_of_file_and_rejects_invalid_ones(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.json", tmp_path / "bad.json"
    good.write_text(config_text(), encoding="utf-8")
    bad.write_text("{}", encoding="utf-8")
    assert ingressctl("check", str(good)).exit_code == 0
    assert ingressctl("check", str(bad)).exit_code == 2
    assert "2 seed(s)" in ingressctl("check", str(write_experiment(tmp_path))).output
    broken = tmp_path / "broken.toml"
    broken.write_text('name = ""\nseconds = -1\n', encoding="utf-8")
    assert ingressctl("check", str(broken)).exit_code == 2
    broken.write_text('name = "a', encoding="utf-8")
    assert ingressctl("check", str(broken)).exit_code == 2


def test_emulate_prints_the_same_result_for_the_same_seed(tmp_path: Path) -> None:
    path = str(write_experiment(tmp_path))
    first, second = (json.loads(ingressctl("emulate", path, "--seed", "5", "--json").output) for _ in range(2))
    assert first["exact"] == second["exact"]
    shown = ingressctl("emulate", path)
    assert shown.exit_code == 0 and "p99_ms" in shown.output


class GatewayWithoutRejections(Gateway):
    """A faulty gateway that never answers a request that it rejects."""

    def handle(self, now: float, event: Event) -> list[Action]:
        return [action for action in super().handle(now, event) if not isinstance(action, RejectRequest)]


def test_a_violated_rule_ends_with_status_1_and_writes_a_smaller_experiment(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = write_experiment(tmp_path, load={"use": 0.3, "heavy": 0.5})
    small = tmp_path / "least.toml"
    assert ingressctl("emulate", str(path)).exit_code == 0
    monkeypatch.setattr("ingress.emulator.world.Gateway", GatewayWithoutRejections)
    found = ingressctl("emulate", str(path), "--shrink", str(small))
    assert found.exit_code == 1 and "broken: one answer" in found.output
    assert load_experiment(small).faults == []
    assert ingressctl("emulate", str(small)).exit_code == 1


def test_an_experiment_compares_versions_in_pairs_and_writes_a_report(tmp_path: Path) -> None:
    path = write_experiment(tmp_path, versions=[{"name": "one"}, {"name": "two"}])
    folder = tmp_path / "out"
    found = ingressctl("experiment", str(path), "--to", str(folder), "--jobs", "2", "--quiet")
    assert found.exit_code == 0, found.output
    assert "two beside one" in found.output
    page = (folder / "report.html").read_text(encoding="utf-8")
    assert "two compared with one, paired by seed" in page and "No rule was broken" in page
    for name in ("latency", "refusals-one", "states-two", "answers-one", "ends-two"):
        assert (folder / f"{name}.png").read_bytes().startswith(b"\x89PNG")
    rows = read_runs(folder / RUNS_FILE)
    assert {(row["version"], row["seed"]) for row in rows} == {("one", 1), ("one", 2), ("two", 1), ("two", 2)}
    by_seed = {(row["version"], row["seed"]): row["result"]["exact"] for row in rows}
    assert by_seed["one", 1] == by_seed["two", 1]  # the same code and seed give the same run
    before = (folder / RUNS_FILE).read_bytes()
    assert ingressctl("experiment", str(path), "--to", str(folder), "--quiet").exit_code == 0
    assert (folder / RUNS_FILE).read_bytes() == before  # no run was missing
    assert ingressctl("report", str(folder)).exit_code == 0


def test_an_interrupted_experiment_keeps_its_results_and_can_be_continued(tmp_path: Path) -> None:
    path = write_experiment(tmp_path, seeds=list(range(1, 200)))
    folder = tmp_path / "out"
    arguments = [
        sys.executable,
        "-m",
        "ingress.ingressctl",
        "experiment",
        str(path),
        "--to",
        str(folder),
        "--jobs",
        "2",
        "--quiet",
    ]
    process = subprocess.Popen(arguments, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    limit = time.monotonic() + 60
    while not (folder / RUNS_FILE).exists() or (folder / RUNS_FILE).read_text().count("\n") < 2:
        assert time.monotonic() < limit
        time.sleep(0.02)
    process.send_signal(signal.SIGINT)
    assert process.wait(60) == 130
    kept = read_runs(folder / RUNS_FILE)
    assert 2 <= len(kept) < 199
    assert (folder / "report.html").exists()
    complete_seeds = [row["seed"] for row in kept if row["result"]["exact"]["whole"]]
    again = Results(folder, build_experiment(SMALL_EXPERIMENT | {"seeds": list(range(1, 200))}))
    assert again.done() == {("now", seed) for seed in complete_seeds}


def test_a_torn_line_is_removed_and_its_run_is_repeated(tmp_path: Path) -> None:
    experiment = build_experiment(SMALL_EXPERIMENT)
    results = Results(tmp_path, experiment)
    for seed in (1, 2):
        results.add("now", seed, {"exact": {"whole": True}})
    path = tmp_path / RUNS_FILE
    complete = path.read_bytes()
    for cut in range(1, 40, 7):
        path.write_bytes(complete[:-cut])
        assert Results(tmp_path, experiment).done() == {("now", 1), ("now", 2)} if cut == 1 else {("now", 1)}
    path.write_bytes(b"{}\n" + complete)
    with pytest.raises(ResultsError, match="line 1"):
        Results(tmp_path, experiment)
    path.write_bytes(complete)
    with pytest.raises(ResultsError, match="another experiment"):
        Results(tmp_path, build_experiment(SMALL_EXPERIMENT | {"seconds": 3.0}))


def test_a_version_combines_the_package_of_its_revision_with_this_emulator(tmp_path: Path) -> None:
    assert lay_out("", tmp_path) == ROOT
    with pytest.raises(UnknownRevisionError, match="is not a revision"):
        lay_out("no-such-revision", tmp_path)
    tree = lay_out("HEAD", tmp_path)
    assert (tree / "ingress" / "decisions" / "gateway.py").exists() and package_of(tree) == "ingress"
    assert (tree / "ingress" / "emulator" / "world.py").read_bytes() == Path(world.__file__).read_bytes()
    assert lay_out("HEAD", tmp_path) == tree


def test_revisions_of_the_renamed_package_can_still_be_run(tmp_path: Path) -> None:
    """Guards against changes after which builds from before the renaming of the package can't be run, or decide
    differently.  The oldest has all its decisions in `mulleinhall.logic`."""
    undivided = lay_out(LAST_UNDIVIDED_REVISION, tmp_path)
    assert package_of(undivided) == "mulleinhall" and (undivided / "mulleinhall" / "logic.py").exists()
    revisions = {"now": "", "former": LAST_FORMER_REVISION, "undivided": LAST_UNDIVIDED_REVISION}
    versions = [{"name": name, "revision": revision} for name, revision in revisions.items()]
    path = write_experiment(tmp_path, seeds=[1], versions=versions)
    found = ingressctl("experiment", str(path), "--to", str(tmp_path / "out"), "--quiet")
    assert found.exit_code == 0, found.output
    results = {row["version"]: row["result"]["exact"] for row in read_runs(tmp_path / "out" / RUNS_FILE)}
    assert results["now"] == results["former"]
    assert all(results[name]["totals"]["served"] > 0 for name in revisions)


def test_a_revision_can_be_run_with_any_results_folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    write_experiment(tmp_path, seeds=[1], versions=[{"name": "head", "revision": "HEAD"}, {"name": "now"}])
    monkeypatch.chdir(tmp_path)
    found = ingressctl("experiment", "small.toml", "--to", "out", "--quiet")
    assert found.exit_code == 0, found.output
    assert {row["version"] for row in read_runs(tmp_path / "out" / RUNS_FILE)} == {"head", "now"}


def test_an_experiment_with_an_unknown_revision_is_invalid_input(tmp_path: Path) -> None:
    path = write_experiment(tmp_path, versions=[{"name": "old", "revision": "nowhere"}])
    assert ingressctl("experiment", str(path), "--to", str(tmp_path / "out"), "--quiet").exit_code == 2


def test_load_fails_if_no_ingress_answers(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(config_text(listen="127.0.0.1:1"), encoding="utf-8")
    assert ingressctl("load", str(path), "--seconds", "0.2").exit_code == 2


def test_run_is_replaced_by_the_ingress(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text("{}", encoding="utf-8")
    done = subprocess.run(
        [sys.executable, "-m", "ingress.ingressctl", "run", str(path)],
        cwd=ROOT,
        env=os.environ | {"TMPDIR": str(tmp_path)},
        capture_output=True,
        check=False,
    )
    assert done.returncode == 2 and b"ingress: listen: missing" in done.stderr


def test_differences_are_paired_and_only_reported_where_the_seeds_agree() -> None:
    keys = ("good", "served", "p50_ms", "p99_ms", "refused", "with_room", "beyond", "attempts", "slow_s", "broken")
    base = {seed: dict.fromkeys(keys, float(seed)) for seed in range(10)}
    better = {seed: {key: value + 1 for key, value in row.items()} for seed, row in base.items()}
    mixed = {seed: {key: value + (-1) ** seed for key, value in row.items()} for seed, row in base.items()}
    told = {one.metric: one for one in compare(base, better)}
    assert told["good"].is_significant and told["good"].better == 10 and told["p99_ms"].better == 0
    assert not any(one.is_significant for one in compare(base, mixed))
    assert compare(base, {99: base[1]}) == []
    low, high = interval([1.0, 2.0, 3.0])
    assert 1.0 <= low < 2.0 < high <= 3.0


def test_slow_seconds_after_the_first_fault_are_relative_to_those_before() -> None:
    rows = [{"second": s, "request.n": 10, "request.sum": 1.0 if s in (7, 8) else 0.2} for s in range(12)]
    assert slow_seconds(rows, 6.0) == 2
    assert slow_seconds(rows, 0.0) == 0  # no seconds before the fault to compare with


def test_histograms_are_restored_from_a_file_and_add_up() -> None:
    latencies = Latencies()
    for ms in range(1, 1001):
        latencies.add(ms / 1000)
    restored = decode_histogram(encode_histogram(latencies.histogram))
    assert restored.get_total_count() == 1000
    assert restored.get_value_at_percentile(99) / 1000 == pytest.approx(990, rel=0.01)
    restored.add(decode_histogram(encode_histogram(latencies.histogram)))
    assert restored.get_total_count() == 2000


def test_series_are_averaged_second_by_second() -> None:
    assert merge([[{"second": 0, "a": 2.0}], [{"second": 0, "a": 4.0, "b": 1.0}]]) == [
        {"second": 0, "a": 3.0, "b": 0.5}
    ]


def test_a_report_needs_results(tmp_path: Path) -> None:
    Results(tmp_path, build_experiment(SMALL_EXPERIMENT))
    (tmp_path / RUNS_FILE).write_text("", encoding="utf-8")
    with pytest.raises(ResultsError, match="contains no runs"):
        make_report(tmp_path)
