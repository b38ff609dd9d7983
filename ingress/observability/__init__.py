"""Monitoring of a fleet of ingresses: metrics polled from their second addresses, and reports on their logs."""
