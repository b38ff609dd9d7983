"""One play in a process of its own: `python -m ingress.emulator.play FILE SEED FOLDER VERSION`.

Prints its result as one line of JSON.  SIGINT ends the play; what was measured by then is its result.
"""

from __future__ import annotations

import json
import signal
import sys
from pathlib import Path

from ingress.emulator.experiment import ExperimentError, load_experiment


def main(words: list[str]) -> int:
    """Plays what the command line names; the exit status."""
    try:
        file, seed, folder, version = words
        experiment = load_experiment(Path(file))
    except (ValueError, ExperimentError) as error:
        print(f"ingress.emulator.play: {error}", file=sys.stderr)
        return 2
    if experiment.sockets:
        from ingress.emulator.live.play import play_live

        result = play_live(experiment, int(seed), Path(folder) / "logs" / f"{version}-{seed}")
    else:
        from ingress.emulator.world import Simulation, factory_builder

        world = Simulation(experiment, int(seed), factory_builder=factory_builder(version, experiment))
        signal.signal(signal.SIGINT, lambda *_: world.interrupt())
        result = world.run()
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
