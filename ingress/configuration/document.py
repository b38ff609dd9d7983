"""Reads the configuration document (EDGE_CONFIG) into a typed `Config`, or reports every fault of it by its key."""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from msgspec import Struct, field

from ingress.configuration.consistency import check_consistency
from ingress.configuration.document_schema import DOCUMENT
from ingress.configuration.json_schema import Validator, parse
from ingress.configuration.settings_mapping import read_settings
from ingress.decisions.settings import Settings
from ingress.discovery.client import EndpointList, read_endpoint_list
from ingress.errors import IngressError
from ingress.runtime.descriptors import usable_sockets
from ingress.runtime.files import UnreadableFileError, read_text
from ingress.runtime.sockets import MAX_PORT, Address

if TYPE_CHECKING:
    from ingress.runtime.tls import Tls

RESERVED_DESCRIPTORS = 48  # not for connections of peers: standard streams, the event loop, counter, discovery
DEFAULT_SOCKETS = 1024
MIN_CLIENT_ADDRESSES = 3  # that it takes to hold all descriptors
DEFAULT_MEMORY_MB = 128
MEGABYTE = 1 << 20
DEFAULT_CHECKPOINT_INTERVAL = 5.0  # s
DEFAULT_CONNECT_TIMEOUT = 0.25  # s
DEFAULT_IDLE_TIMEOUT = 15.0  # s
DEFAULT_MAX_OPEN_REQUESTS = 20_000
DIGEST_CHARACTERS = 12
NO_ENDPOINTS = {"version": 0, "full": True, "servers": []}
# Keys that make no configuration version: the seed and the initial endpoints differ at each start, and each process
# of an ingress has an admin address of its own.
UNVERSIONED_KEYS = frozenset({"seed", "known", "control"})


class ConfigError(IngressError):
    """The configuration can't be used; each of `faults` names its key."""

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = list(faults)


class CheckpointConfig(Struct, frozen=True):
    """The folder of the checkpoint, and seconds between its snapshots."""

    folder: str
    interval: float


class Config(Struct, frozen=True):
    """The configuration of one process; durations are in seconds."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    admin: Address | None
    seed: int
    max_client_connections: int
    max_endpoint_connections: int
    client_connection_limit: int  # of any one client address
    initial_endpoints: EndpointList  # used until discovery answers
    settings: Settings
    connect_timeout: float
    idle_timeout: float  # after which an endpoint closes an idle connection
    max_open_requests: int
    memory_limit: int  # bytes
    unknown_keys: tuple[str, ...] = ()
    client_tls: Tls | None = None
    endpoint_tls: Tls | None = None
    checkpoint: CheckpointConfig | None = None
    document: Mapping[str, Any] = field(default_factory=dict)  # as read, without UNVERSIONED_KEYS
    digest: str = ""  # of the document and of the certificates that it names
    document_size: int = 0  # bytes


def read_address(text: str, key: str) -> Address:
    """Reads `host:port`.

    Raises:
        ConfigError: It is not an address; the text names `key`.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigError([f"{key}: {text!r} is not an address and port"])
    return host, int(port)


def with_shared_document(config: Config, document: Mapping[str, Any]) -> Config:
    """Returns the configuration of this process with the document of another process of the same ingress.

    Raises:
        ConfigError: This process can't use the document.
    """
    unversioned = {"seed": f"{config.seed:x}"}
    if config.admin is not None:
        host, port = config.admin
        unversioned["control"] = f"{host}:{port}"
    return read_config(json.dumps(dict(document) | unversioned))


def load_config(path: str) -> Config:
    """Reads the configuration file at `path`.

    Raises:
        ConfigError: The file or its content can't be used.
    """
    try:
        return read_config(read_text(path))
    except UnreadableFileError as error:
        raise ConfigError([f"EDGE_CONFIG: {error}"]) from error


def read_config(text: str) -> Config:
    """Reads a configuration document.

    Raises:
        ConfigError: It can't be used; the error holds every fault.
    """
    try:
        source = parse(text)
    except ValueError as error:
        raise ConfigError([f"EDGE_CONFIG: not JSON: {error}"]) from None
    validator = Validator()
    validator.check(source, DOCUMENT, "")
    if not isinstance(source, dict):
        raise ConfigError(validator.faults)
    check_consistency(source, validator)
    addresses = _read_addresses(source, validator)
    initial_endpoints = _read_initial_endpoints(source, validator)
    tls = _read_tls(source, validator) if not validator.faults else {}
    if validator.faults:
        raise ConfigError(validator.faults)
    return _build_config(source, addresses, initial_endpoints, tls, tuple(validator.unknown_keys))


def _build_config(
    source: dict[str, Any],
    addresses: dict[str, Address | None],
    initial_endpoints: EndpointList,
    tls: dict[str, Tls],
    unknown_keys: tuple[str, ...],
) -> Config:
    """Returns the configuration of a document that has passed all checks."""
    settings = _read_settings(source["settings"])
    limits = source["settings"]["limits"]
    process_limits = source["limits"]
    sockets = usable_sockets(process_limits.get("sockets", DEFAULT_SOCKETS))
    max_connections = _max_connections(sockets)
    document = {key: value for key, value in source.items() if key not in UNVERSIONED_KEYS}
    canonical = json.dumps(document, sort_keys=True).encode()
    return Config(
        name=source["name"],
        listen=_required(addresses["listen"]),
        discovery=_required(addresses["discovery"]),
        counter=addresses["counter"] if settings.counter_available else None,
        admin=addresses["control"],
        seed=int(source["seed"], 16),
        max_client_connections=max_connections,
        max_endpoint_connections=max_connections,
        client_connection_limit=sockets // MIN_CLIENT_ADDRESSES,
        initial_endpoints=initial_endpoints,
        settings=settings,
        connect_timeout=float(limits.get("connect-timeout-s", DEFAULT_CONNECT_TIMEOUT)),
        idle_timeout=float(limits.get("keepalive-s", DEFAULT_IDLE_TIMEOUT)),
        max_open_requests=int(limits.get("max-open", DEFAULT_MAX_OPEN_REQUESTS)),
        memory_limit=int(process_limits.get("memory_mb", DEFAULT_MEMORY_MB) * MEGABYTE),
        unknown_keys=unknown_keys,
        client_tls=tls.get("tls"),
        endpoint_tls=tls.get("server-tls"),
        checkpoint=_read_checkpoint(source.get("checkpoint")),
        document=document,
        digest=_digest(canonical, tls),
        document_size=len(canonical),
    )


def _max_connections(sockets: int) -> int:
    """Returns how many connections either side may open; all parts together stay under the limit of descriptors."""
    return (sockets - min(RESERVED_DESCRIPTORS, sockets // 2)) // 2


def _required(address: Address | None) -> Address:
    assert address is not None  # the schema requires the key
    return address


def _read_settings(source: Mapping[str, Any]) -> Settings:
    try:
        return read_settings(source)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError([f"settings: {error}"]) from None


def _read_checkpoint(source: Mapping[str, Any] | None) -> CheckpointConfig | None:
    if not source:
        return None
    return CheckpointConfig(source["folder"], float(source.get("every_s", DEFAULT_CHECKPOINT_INTERVAL)))


def _digest(canonical: bytes, tls: dict[str, Tls]) -> str:
    """Returns the digest of a document; a certificate that was renewed under its old file name changes it."""
    fingerprints = "".join(side.fingerprint for side in tls.values()).encode()
    return hashlib.sha256(canonical + fingerprints).hexdigest()[:DIGEST_CHARACTERS]


def _read_initial_endpoints(source: dict[str, Any], validator: Validator) -> EndpointList:
    try:
        return read_endpoint_list(source.get("known") or NO_ENDPOINTS)
    except ValueError as error:
        validator.add_fault("known", str(error))
        return EndpointList(0, True, (), {})


def _read_tls(source: dict[str, Any], validator: Validator) -> dict[str, Tls]:
    """Reads the sides that ask for TLS; the module that reads certificates is loaded only for these."""
    sides = {}
    for key in ("tls", "server-tls"):
        if source.get(key) is None:
            continue
        try:
            from ingress.runtime.tls import TlsError, read_tls
        except ImportError as error:
            validator.add_fault(key, f"this installation has no {error.name}: see requirements-tls.txt")
            continue
        if ("certificate" in source[key]) is not ("key" in source[key]):
            validator.add_fault(key, "certificate and key go together")
            continue
        try:
            sides[key] = read_tls(source[key], key, key == "tls")
        except TlsError as error:
            validator.add_fault(error.key, error.text)
    return sides


def _read_addresses(source: dict[str, Any], validator: Validator) -> dict[str, Address | None]:
    """Reads the addresses by their keys; the environment may name the admin address too."""
    texts = {key: source.get(key) for key in ("listen", "discovery", "counter")}
    texts["control"] = source.get("control") or os.environ.get("EDGE_CONTROL")
    addresses = {key: _read_optional_address(text, key, validator) for key, text in texts.items()}
    admin = addresses["control"]
    if admin and admin[1] and admin == addresses["listen"]:  # port 0 stands for any free one
        validator.add_fault("control", "is the address where clients connect")
    return addresses


def _read_optional_address(text: Any, key: str, validator: Validator) -> Address | None:
    if not isinstance(text, str) or not text:
        return None
    try:
        return read_address(text, key)
    except ConfigError as error:
        validator.faults += error.faults
        return None
