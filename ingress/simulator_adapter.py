"""Runs `Gateway`s for the simulator: reads its messages from standard input and writes actions to standard output.

Unknown keys are ignored, a malformed line ends the program, and an exception in the decision logic is reported to the
simulator.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, TextIO

from msgspec import Struct

from ingress.configuration.settings_mapping import read_settings
from ingress.decisions.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    WatchEndpoints,
)
from ingress.decisions.endpoint import Endpoint, Outcome, Readiness
from ingress.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReply,
    EndpointListKind,
    EndpointsChanged,
    Event,
    HealthCheckEnded,
    PeerMessage,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from ingress.decisions.gateway import Gateway
from ingress.decisions.settings import Settings
from ingress.errors import IngressError
from ingress.protocols.load_report import LOAD_REPORT_FIELDS

Message = Mapping[str, Any]

OUTCOMES_BY_CODE = {
    "completed": Outcome.OK,
    "errored": Outcome.ERROR,
    "saturated": Outcome.REJECTED,
    "overdue": Outcome.TIMEOUT,
    "refused_conn": Outcome.CONNECT_FAILED,
    "severed": Outcome.RESET,
    "recalled": Outcome.CANCELLED,
    "superseded": Outcome.NOT_SENT,
}


class _Command(Struct, frozen=True):
    """A parsed message for one gateway instance: settings create the gateway, an event is handled by it."""

    instance: int | None = None
    event: Event | None = None
    settings: Settings | None = None
    seed: int = 0


class MalformedInputError(IngressError):
    """The input violates the protocol of the simulator."""


def read_endpoint(row: Message) -> Endpoint:
    """Return the endpoint for an entry of an endpoint list."""
    return Endpoint(
        id=row["backend"],
        zone=row.get("failure-domain", ""),
        kind=row.get("flavor", ""),
        cell=row.get("group", 0),
        readiness=Readiness(row.get("readiness", "ready")),
        weight=row.get("rating", 1.0),
        started_at=row.get("up-since-s", 0.0),
    )


def _read_load_report(message: Message) -> dict[str, float]:
    return {LOAD_REPORT_FIELDS.get(name, name): value for name, value in message.get("telemetry", {}).items()}


EVENT_READERS: dict[str, Callable[[Message], Event]] = {
    "Ingress": lambda message: RequestReceived(
        message["rid"],
        message["service"],
        message["tariff"],
        message["account"],
        message["grace-s"],
        message.get("cost-units", 1),
        message.get("spread", 1),
        message.get("set-from", 0),
        message.get("repeat", False),
        message.get("is-write", False),
    ),
    "First": lambda message: ResponseStarted(
        message["rid"], message.get("round-no", 0), message["backend"], message.get("latency-s", 0.0)
    ),
    "Result": lambda message: AttemptEnded(
        message["rid"],
        message.get("round-no", 0),
        message["backend"],
        OUTCOMES_BY_CODE[message["rc"]],
        message.get("latency-s", 0.0),
        message.get("finished", False),
        message.get("used", 0),
        message.get("settled", 0),
        _read_load_report(message),
    ),
    "Abandoned": lambda message: ClientDisconnected(message["rid"]),
    "Wake": lambda message: TimerFired(message.get("token", 0)),
    "HealthResult": lambda message: HealthCheckEnded(
        message["backend"], OUTCOMES_BY_CODE[message["rc"]], message.get("latency-s", 0.0), _read_load_report(message)
    ),
    "Whisper": lambda message: PeerMessage(message.get("sender", 0), message.get("content", "")),
    "CounterReply": lambda message: CounterReply(
        message["name"], OUTCOMES_BY_CODE[message["rc"]], message.get("level", 0.0), message.get("latency-s", 0.0)
    ),
}


def write_action(action: Action) -> dict[str, Any]:
    """Return the message for an action, without the instance of its gateway.

    Raises:
        TypeError: The simulator has no message for the action.
    """
    message = _write_request_action(action) or _write_other_action(action)
    if message is None:
        raise TypeError(f"the simulator has no message for the action {action!r}")
    return message


def _write_request_action(action: Action) -> dict[str, Any] | None:
    match action:
        case StartAttempt(request_id=request_id, endpoint_id=endpoint_id, timeout=timeout):
            return {"m": "CallOut", "rid": request_id, "backend": endpoint_id, "cap-s": timeout}
        case CancelAttempt(request_id=request_id, attempt=attempt):
            return {"m": "AbortAttempt", "rid": request_id, "round-no": attempt}
        case RejectRequest(request_id=request_id, retry_after=retry_after):
            return {"m": "Decline", "rid": request_id, "retry-after-s": retry_after}
        case FailRequest(request_id=request_id):
            return {"m": "Abort", "rid": request_id}
    return None


def _write_other_action(action: Action) -> dict[str, Any] | None:
    message: dict[str, Any] | None = None
    match action:
        case SetTimer(delay=delay, token=token):
            message = {"m": "Remind", "after-s": delay, "token": token}
        case StartHealthCheck(endpoint_id=endpoint_id):
            message = {"m": "Inspect", "backend": endpoint_id}
        case CloseIdleConnections(endpoint_id=endpoint_id):
            message = {"m": "Close", "backend": endpoint_id}
        case SendPeerMessage(text=text, peer=peer):
            message = {"m": "Share", "recipient": "all" if peer is None else peer, "content": text}
        case AddToCounter(name=name, add=add, lifetime=lifetime):
            message = {"m": "Tally", "name": name, "add": add, "lifetime-s": lifetime}
        case WatchEndpoints(on=on):
            message = {"m": "Tail", "on": on}
        case FetchEndpoints():
            message = {"m": "Lookup"}
        case LogMessage(text=text):
            message = {"m": "Record", "reason-text": text}
    return message


class SimulatorAdapter:
    """The gateways of one process, and the endpoint lists that messages refer to by number.

    Attributes:
        gateways: The gateways, by instance number.
        endpoint_lists: The endpoint lists, by list number.
    """

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}

    def handle_batch(self, now: float, messages: Iterable[Message]) -> list[dict[str, Any]]:
        """Handle a batch of simultaneous messages, and return the messages for the actions.

        Raises:
            MalformedInputError: A message violates the protocol.
        """
        replies: list[dict[str, Any]] = []
        for message in messages:
            try:
                command = self._read_message(message)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                text = f"invalid message {message.get('m')!r}: {type(error).__name__}: {error}"
                raise MalformedInputError(text) from error
            try:
                replies += self._execute(now, command)
            except Exception as error:  # reported to the simulator, which stops and shows this text
                text = f"{type(error).__name__}: {error} at {now} on {message['m']}"
                replies.append({"m": "BailOut", "ingress": command.instance, "reason-text": text})
                return replies
        return replies

    def _execute(self, now: float, command: _Command) -> Iterator[dict[str, Any]]:
        """Create a gateway, or yield the messages for the actions with which it responds to an event."""
        if command.instance is None:
            return
        if command.settings is not None:
            self.gateways[command.instance] = Gateway(command.settings, command.seed)
        elif command.event is not None and command.instance in self.gateways:
            for action in self.gateways[command.instance].handle(now, command.event):
                yield write_action(action) | {"ingress": command.instance}

    def _read_message(self, message: Message) -> _Command:
        name = message["m"]
        if name == "SnapshotRows":
            rows = message["members-list"]
            self.endpoint_lists[message.get("set-id", 0)] = tuple(read_endpoint(row) for row in rows)
            return _Command()
        instance: int = message["ingress"]
        if name == "Start":
            seed = message["nonce64"]
            return _Command(instance, settings=read_settings(message["env"]), seed=seed)
        if name == "PowerOff":
            self.gateways.pop(instance, None)
            return _Command(instance)
        if name == "BackendsChanged":
            return _Command(instance, self._read_endpoints_changed(message))
        if name not in EVENT_READERS:
            raise ValueError(f"unknown message type {name!r}")
        return _Command(instance, EVENT_READERS[name](message))

    def _read_endpoints_changed(self, message: Message) -> EndpointsChanged:
        kind = EndpointListKind(message["kind"])
        is_unavailable = kind is EndpointListKind.UNAVAILABLE
        endpoints = () if is_unavailable else self.endpoint_lists[message.get("set-id", 0)]
        return EndpointsChanged(kind, endpoints, message.get("epoch", 0))


class _BatchReader:
    """Groups the lines of the input into batches of simultaneous messages.

    Attributes:
        now: The time in seconds of the current batch; None outside a batch.
        messages: The messages of the current batch.
    """

    def __init__(self) -> None:
        self.now: float | None = None
        self.messages: list[Message] = []

    def read(self, line: str) -> tuple[float, list[Message]] | None:
        """Read a line; return the time and the messages of a batch if the line ends it, or None.

        Raises:
            MalformedInputError: The line violates the protocol.
        """
        try:
            message = json.loads(line)
        except ValueError as error:
            raise MalformedInputError(f"invalid JSON: {error}") from error
        if not isinstance(message, dict):
            raise MalformedInputError("expected a JSON object")
        name = message.get("m")
        if name == "BeginBatch":
            try:
                self.now = float(message["ts-s"])
            except (KeyError, TypeError, ValueError) as error:
                raise MalformedInputError(f"no valid time 'ts-s' in message {name!r}: {message!r}") from error
            self.messages = []
            return None
        if self.now is None:
            raise MalformedInputError(f"message {name!r} is outside a batch")
        if name != "Eob":
            self.messages.append(message)
            return None
        batch = self.now, self.messages
        self.now = None
        return batch


def serve(source: TextIO, sink: TextIO) -> None:
    """Write the response to each batch of `source` to `sink` until the input ends.

    Raises:
        MalformedInputError: The input violates the protocol; the text states the line number.
    """
    adapter = SimulatorAdapter()
    reader = _BatchReader()
    for line_number, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            batch = reader.read(line)
            if batch is None:
                continue
            replies = adapter.handle_batch(*batch)
        except MalformedInputError as error:
            raise MalformedInputError(f"line {line_number}: {error}") from error
        for reply in replies:
            sink.write(json.dumps(reply) + "\n")
        sink.write('{"m":"Finished"}\n')
        sink.flush()
    if reader.now is not None:
        raise MalformedInputError("the input ends inside a batch")


def main() -> int:
    """Serve standard input and output, and return the exit status."""
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedInputError as error:
        print(f"ingress.simulator_adapter: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
