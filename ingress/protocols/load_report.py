"""The field names of load reports from endpoints and the simulator, mapped to the names used internally."""

LOAD_REPORT_FIELDS = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency_ms",
    "rps": "qps",
    "err_rps": "eps",
}
