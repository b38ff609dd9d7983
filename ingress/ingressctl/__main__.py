"""Run the command `ingressctl` as `python -m ingress.ingressctl`."""

from ingress.ingressctl.main import main

if __name__ == "__main__":
    main(prog_name="ingressctl")
