"""The endpoint side: connections, attempts and health checks, and the client of the shared counter."""
