"""TLS contexts of both sides, built from the configured files; imported only if the configuration has a TLS section.

A context is built completely or not at all: a certificate that can't be read, does not match its key, or is not valid
now is a configuration error. Open connections keep the context they were created with.
"""

from __future__ import annotations

import hashlib
import ssl
import time
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any

from cryptography import x509
from msgspec import Struct

from ingress.errors import IngressError
from ingress.runtime.files import UnreadableFileError, read_text
from ingress.runtime.tls_sessions import ResumingContext


class TlsError(IngressError):
    """An error in the TLS settings.

    Attributes:
        key: The configuration key of the invalid setting.
        text: The description of the error, without the key.
    """

    def __init__(self, key: str, text: str) -> None:
        super().__init__(f"{key}: {text}")
        self.key = key
        self.text = text


class Tls(Struct, frozen=True):
    """The TLS settings of one side: the clients or the endpoints.

    Attributes:
        context: The context of new connections.
        expires_at: The Unix time in seconds at which the first of the certificates expires, 0 if there is none.
        fingerprint: The digest of all files.
        peer_name: The expected name in the certificates of the peers; empty stands for their address.
    """

    context: ssl.SSLContext
    expires_at: float
    fingerprint: str
    peer_name: str = ""


def read_tls(spec: Mapping[str, Any], key: str, server: bool) -> Tls:
    """Read the files of one side.

    Args:
        spec: The section of the configuration.
        key: The key of the section.
        server: Whether this is the side of the clients.

    Raises:
        TlsError: A file can't be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER) if server else ResumingContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    texts: list[str] = []
    expiries: list[float] = []
    if "certificate" in spec:
        texts += [_read(spec["certificate"], f"{key}.certificate"), _read(spec["key"], f"{key}.key")]
        expiries.append(_check_validity(texts[0], f"{key}.certificate"))
        _load_certificate(context, spec, key)
    if "ca" in spec:
        texts.append(_read(spec["ca"], f"{key}.ca"))
        expiries.append(_check_validity(texts[-1], f"{key}.ca"))
        _load_authority(context, texts[-1], key)
    fingerprint = hashlib.sha256("\0".join(texts).encode()).hexdigest()
    return Tls(context, min(expiries, default=0.0), fingerprint, spec.get("name", ""))


def _load_certificate(context: ssl.SSLContext, spec: Mapping[str, Any], key: str) -> None:
    try:
        context.load_cert_chain(spec["certificate"], spec["key"], password=_reject_password)
    except (ssl.SSLError, OSError, ValueError) as error:
        raise TlsError(f"{key}.key", f"does not belong to the certificate, or is none: {error}") from None


def _load_authority(context: ssl.SSLContext, text: str, key: str) -> None:
    """Require the peers to present a certificate of this authority."""
    try:
        context.load_verify_locations(cadata=text)
    except ssl.SSLError as error:
        raise TlsError(f"{key}.ca", str(error)) from None
    context.verify_mode = ssl.CERT_REQUIRED


def _reject_password() -> str:
    raise ValueError("the key is encrypted")


def _read(path: str, key: str) -> str:
    try:
        return read_text(path)
    except UnreadableFileError as error:
        raise TlsError(key, str(error)) from None


def _check_validity(text: str, key: str) -> float:
    """Return the Unix time in seconds at which the first certificate of a chain expires.

    Raises:
        TlsError: A certificate can't be read, or is not valid now.
    """
    try:
        chain = x509.load_pem_x509_certificates(text.encode())
    except ValueError as error:
        raise TlsError(key, f"not a certificate in PEM: {error}") from None
    now = datetime.fromtimestamp(time.time(), UTC)
    for certificate in chain:
        if certificate.not_valid_after_utc <= now:
            raise TlsError(key, f"ran out at {certificate.not_valid_after_utc:%Y-%m-%dT%H:%M:%SZ}")
        if certificate.not_valid_before_utc > now:
            raise TlsError(key, f"is not valid before {certificate.not_valid_before_utc:%Y-%m-%dT%H:%M:%SZ}")
    return min(certificate.not_valid_after_utc for certificate in chain).timestamp()
