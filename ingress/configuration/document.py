"""The configuration document (EDGE_CONFIG): parsed into a typed `Config`, or rejected with every fault by its key."""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from msgspec import Struct, field

from ingress.configuration.consistency import check_consistency
from ingress.configuration.document_schema import DOCUMENT_SCHEMA
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

# Descriptors that are not available to peer connections: standard streams, event loop, counter and discovery.
RESERVED_DESCRIPTORS = 48
DEFAULT_SOCKETS = 1024
# At least this many client addresses are needed to use all descriptors: each one is limited to its share.
MIN_ADDRESSES_TO_FILL_DESCRIPTORS = 3
DEFAULT_MEMORY_MB = 128
BYTES_PER_MEGABYTE = 1 << 20
DEFAULT_CHECKPOINT_INTERVAL_S = 5.0
DEFAULT_CONNECT_TIMEOUT_S = 0.25
DEFAULT_IDLE_TIMEOUT_S = 15.0
DEFAULT_MAX_OPEN_REQUESTS = 20_000
DIGEST_CHARACTERS = 12
EMPTY_ENDPOINT_LIST = {"version": 0, "full": True, "servers": []}
# Keys that are not part of a configuration version: the seed and the initial endpoints differ at each start, and each
# process of an ingress has its own admin address.
UNVERSIONED_KEYS = frozenset({"seed", "known", "control"})


class ConfigError(IngressError):
    """The configuration is invalid; each entry of `faults` names the key concerned."""

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = list(faults)


class CheckpointConfig(Struct, frozen=True):
    """The checkpoint folder, and the interval between snapshots in seconds."""

    folder: str
    interval: float


class Config(Struct, frozen=True):
    """The configuration of one process; durations are in seconds.

    Attributes:
        guaranteed_connections: The number of connections that any one client address may always have open.
        initial_endpoints: The endpoint list that is used until discovery answers.
        idle_timeout: The time after which an endpoint closes an idle connection.
        memory_limit: The memory limit in bytes.
        document: The document as read, without the keys in `UNVERSIONED_KEYS`.
        digest: The digest of the document and of the certificates that it names.
        document_size: The size of the canonical document in bytes.
    """

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    admin: Address | None
    seed: int
    max_client_connections: int
    max_endpoint_connections: int
    guaranteed_connections: int
    initial_endpoints: EndpointList
    settings: Settings
    connect_timeout: float
    idle_timeout: float
    max_open_requests: int
    memory_limit: int
    unknown_keys: tuple[str, ...] = ()
    client_tls: Tls | None = None
    endpoint_tls: Tls | None = None
    checkpoint: CheckpointConfig | None = None
    document: Mapping[str, Any] = field(default_factory=dict)
    digest: str = ""
    document_size: int = 0


def read_address(text: str, key: str) -> Address:
    """Parse `host:port`.

    Raises:
        ConfigError: The text is not an address and port; the message names `key`.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigError([f"{key}: {text!r} is not an address and port"])
    return host, int(port)


def with_shared_document(config: Config, document: Mapping[str, Any]) -> Config:
    """Return the configuration of this process based on the document of another process of the same ingress.

    Raises:
        ConfigError: The document is invalid in this process.
    """
    unversioned = {"seed": f"{config.seed:x}"}
    if config.admin is not None:
        host, port = config.admin
        unversioned["control"] = f"{host}:{port}"
    return read_config(json.dumps(dict(document) | unversioned))


def load_config(path: str) -> Config:
    """Read the configuration file at `path`.

    Raises:
        ConfigError: The file cannot be read, or its content is invalid.
    """
    try:
        return read_config(read_text(path))
    except UnreadableFileError as error:
        raise ConfigError([f"EDGE_CONFIG: {error}"]) from error


def read_config(text: str) -> Config:
    """Parse a configuration document.

    Raises:
        ConfigError: The document is invalid; the error lists every fault.
    """
    try:
        source = parse(text)
    except ValueError as error:
        raise ConfigError([f"EDGE_CONFIG: not JSON: {error}"]) from None
    validator = Validator()
    validator.check(source, DOCUMENT_SCHEMA, "")
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
    """Build the configuration from a document that has passed all checks."""
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
        guaranteed_connections=sockets // MIN_ADDRESSES_TO_FILL_DESCRIPTORS,
        initial_endpoints=initial_endpoints,
        settings=settings,
        connect_timeout=float(limits.get("connect-timeout-s", DEFAULT_CONNECT_TIMEOUT_S)),
        idle_timeout=float(limits.get("keepalive-s", DEFAULT_IDLE_TIMEOUT_S)),
        max_open_requests=int(limits.get("max-open", DEFAULT_MAX_OPEN_REQUESTS)),
        memory_limit=int(process_limits.get("memory_mb", DEFAULT_MEMORY_MB) * BYTES_PER_MEGABYTE),
        unknown_keys=unknown_keys,
        client_tls=tls.get("tls"),
        endpoint_tls=tls.get("server-tls"),
        checkpoint=_read_checkpoint(source.get("checkpoint")),
        document=document,
        digest=_digest(canonical, tls),
        document_size=len(canonical),
    )


def _max_connections(sockets: int) -> int:
    """Return how many connections each side may open, so that the whole process stays below the descriptor limit."""
    return (sockets - min(RESERVED_DESCRIPTORS, sockets // 2)) // 2


def _required(address: Address | None) -> Address:
    assert address is not None  # The schema requires the key.
    return address


def _read_settings(source: Mapping[str, Any]) -> Settings:
    try:
        return read_settings(source)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError([f"settings: {error}"]) from None


def _read_checkpoint(source: Mapping[str, Any] | None) -> CheckpointConfig | None:
    if not source:
        return None
    return CheckpointConfig(source["folder"], float(source.get("every_s", DEFAULT_CHECKPOINT_INTERVAL_S)))


def _digest(canonical: bytes, tls: dict[str, Tls]) -> str:
    """Return the digest of a document; it changes when a certificate is renewed under the same file name."""
    fingerprints = "".join(side.fingerprint for side in tls.values()).encode()
    return hashlib.sha256(canonical + fingerprints).hexdigest()[:DIGEST_CHARACTERS]


def _read_initial_endpoints(source: dict[str, Any], validator: Validator) -> EndpointList:
    try:
        return read_endpoint_list(source.get("known") or EMPTY_ENDPOINT_LIST)
    except ValueError as error:
        validator.add_fault("known", str(error))
        return EndpointList(0, True, (), {})


def _read_tls(source: dict[str, Any], validator: Validator) -> dict[str, Tls]:
    """Read the TLS settings of each side that uses TLS; the TLS module is imported only if one does."""
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
    """Read the addresses by key; the environment variable EDGE_CONTROL is the fallback for the admin address."""
    texts = {key: source.get(key) for key in ("listen", "discovery", "counter")}
    texts["control"] = source.get("control") or os.environ.get("EDGE_CONTROL")
    addresses = {key: _read_optional_address(text, key, validator) for key, text in texts.items()}
    admin = addresses["control"]
    if admin and admin[1] and admin == addresses["listen"]:  # Port 0 requests any free port.
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
