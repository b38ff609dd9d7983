"""`python -m mulleinhall.emulator` is `mothdrift`."""

from mulleinhall.emulator.cli import main

if __name__ == "__main__":
    main(prog_name="mothdrift")
