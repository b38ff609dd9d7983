"""The decision logic of an ingress: a function of events, without sockets or a wall clock, random only by its seed."""
