"""Runs an experiment once, in a process of its own: `python -m ingress.emulator.play FILE SEED FOLDER VERSION`.

Prints the result as one line of JSON.  SIGINT ends the run; its result is what was measured until then.
"""

from __future__ import annotations

import json
import signal
import sys
from pathlib import Path

from ingress.emulator.experiment import ExperimentError, load_experiment


def main(arguments: list[str]) -> int:
    """Run the experiment that the command line names, and return the exit status."""
    try:
        file, seed, folder, version = arguments
        experiment = load_experiment(Path(file))
    except (ValueError, ExperimentError) as error:
        print(f"ingress.emulator.play: {error}", file=sys.stderr)
        return 2
    if experiment.sockets:
        from ingress.emulator.live.play import run_live

        result = run_live(experiment, int(seed), Path(folder) / "logs" / f"{version}-{seed}")
    else:
        from ingress.emulator.world import Simulation, make_gateway_factory_builder

        factory_builder = make_gateway_factory_builder(version, experiment)
        simulation = Simulation(experiment, int(seed), factory_builder=factory_builder)
        signal.signal(signal.SIGINT, lambda *_: simulation.interrupt())
        result = simulation.run()
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
