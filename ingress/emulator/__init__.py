"""Emulator: runs a fleet through failures, simulated or on real sockets; `ingressctl run` imports none of it."""
