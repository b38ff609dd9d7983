"""Services that every part of the process uses: clock, log, memory and descriptor limits, TLS, metrics."""
