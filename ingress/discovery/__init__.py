"""The client of the discovery service, over HTTP."""
