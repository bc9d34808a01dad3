"""A certificate authority for tests."""

from __future__ import annotations

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

DAY = datetime.timedelta(days=1)


class Authority:
    def __init__(self, folder: Path, name: str = "test root") -> None:
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.file = folder / f"{name.replace(' ', '-')}.pem"
        self.file.write_bytes(self._sign(self.name, self.key.public_key(), ca=True)[0])

    def _sign(self, name: x509.Name, key: ec.EllipticCurvePublicKey, ca: bool) -> tuple[bytes, int]:
        now = datetime.datetime.now(datetime.UTC)
        serial = x509.random_serial_number()
        certificate = (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(self.name)
            .public_key(key)
            .serial_number(serial)
            .not_valid_before(now - DAY)
            .not_valid_after(now + 30 * DAY)
            .add_extension(x509.BasicConstraints(ca=ca, path_length=None), critical=True)
            .add_extension(
                x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]), False
            )
            .sign(self.key, hashes.SHA256())
        )
        return certificate.public_bytes(serialization.Encoding.PEM), serial

    def issue(self, file_stem: str, common_name: str, organization: str) -> tuple[Path, Path, int]:
        """Issue a certificate; return its file, the file of its key, and its serial number."""
        key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name(
            [
                x509.NameAttribute(NameOID.ORGANIZATION_NAME, organization),
                x509.NameAttribute(NameOID.COMMON_NAME, common_name),
            ]
        )
        certificate_pem, serial = self._sign(name, key.public_key(), ca=False)
        cert_file, key_file = self.folder / f"{file_stem}.pem", self.folder / f"{file_stem}.key"
        cert_file.write_bytes(certificate_pem)
        key_file.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return cert_file, key_file, serial
