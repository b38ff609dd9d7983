"""Coordinates the processes of one ingress: membership, accepting, shared usage, configuration changes and handover."""
