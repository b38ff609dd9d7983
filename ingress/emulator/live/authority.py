"""A certificate authority for experiments and tests, and the certificates it signs.  Needs requirements-tls.txt."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

DAY = timedelta(days=1)


@dataclass
class CertificateFiles:
    """The files of a certificate and its key."""

    certificate: Path
    key: Path

    def spec(self, **more: str) -> dict[str, str]:
        """Return the `tls` table of a configuration that names these files."""
        return {"certificate": str(self.certificate), "key": str(self.key), **more}


class Authority:
    """A certificate authority that signs certificates for 127.0.0.1 and one name.

    Files are written to its folder; keys are unencrypted unless a password is given.
    """

    def __init__(self, folder: Path, name: str = "authority") -> None:
        self.folder = folder
        folder.mkdir(exist_ok=True)
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        now = datetime.now(UTC)
        self.certificate = (
            x509.CertificateBuilder()
            .subject_name(self.name)
            .issuer_name(self.name)
            .public_key(self.key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - 10 * DAY)
            .not_valid_after(now + 1000 * DAY)
            .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
            .sign(self.key, hashes.SHA256())
        )
        self.path = folder / f"{name}.pem"
        self.path.write_bytes(self.certificate.public_bytes(serialization.Encoding.PEM))

    def sign(
        self, name: str, valid_from_days: float = -1.0, valid_until_days: float = 30.5, password: bytes | None = None
    ) -> CertificateFiles:
        """Sign a certificate for a name and return its files.

        Args:
            name: The DNS name, which also names the files.
            valid_from_days: The start of the validity in days from now.
            valid_until_days: The end of the validity in days from now.
            password: The password that encrypts the key, if any.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        now = datetime.now(UTC)
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now + valid_from_days * DAY)
            .not_valid_after(now + valid_until_days * DAY)
            .add_extension(
                x509.SubjectAlternativeName([x509.DNSName(name), x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]),
                critical=False,
            )
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .sign(self.key, hashes.SHA256())
        )
        files = CertificateFiles(self.folder / f"{name}.pem", self.folder / f"{name}.key")
        files.certificate.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        encryption = serialization.BestAvailableEncryption(password) if password else serialization.NoEncryption()
        files.key.write_bytes(
            key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, encryption)
        )
        return files
