"""The command `ingressctl`: run an ingress, emulate fleets under faults, monitor a fleet, report on its logs."""
