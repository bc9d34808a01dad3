"""The feature `tls`: a further port with TLS, whose certificates are reloaded while serving."""

from __future__ import annotations

import asyncio
import logging
import ssl
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any

from gladegw.net.config import ConfigError

log = logging.getLogger(__name__)

VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
CLIENT_CERT = {"off": ssl.CERT_NONE, "optional": ssl.CERT_OPTIONAL, "required": ssl.CERT_REQUIRED}
SHORT = {
    "commonName": "CN",
    "organizationName": "O",
    "organizationalUnitName": "OU",
    "countryName": "C",
    "stateOrProvinceName": "ST",
    "localityName": "L",
    "streetAddress": "STREET",
    "domainComponent": "DC",
    "userId": "UID",
}
SPECIAL = ',+"\\<>;='


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Settings of the block `tls`."""

    port: int | None = None
    cert: str | None = None
    key: str | None = None
    min_version: str = "1.2"
    reload_s: int = 30
    client_ca: str | None = None
    client_cert: str = "off"

    def __post_init__(self) -> None:
        for name in ("port", "cert", "key"):
            if not getattr(self, name):
                raise ValueError(f"{name} must be set")
        if not 1 <= (self.port or 0) <= 65535:
            raise ValueError(f"port must be 1 to 65535, not {self.port}")
        if self.min_version not in VERSIONS:
            raise ValueError(f"min_version must be one of {', '.join(VERSIONS)}, not {self.min_version!r}")
        if not 1 <= self.reload_s <= 86_400:
            raise ValueError(f"reload_s must be 1 to 86400, not {self.reload_s}")
        if self.client_cert not in CLIENT_CERT:
            raise ValueError(f"client_cert must be one of {', '.join(CLIENT_CERT)}, not {self.client_cert!r}")
        if self.client_cert != "off" and self.client_ca is None:
            raise ValueError(f"client_cert {self.client_cert!r} needs client_ca")


def _escaped(value: str) -> str:
    """Escape an attribute value of a distinguished name (RFC 4514)."""
    text = "".join("\\" + sign if sign in SPECIAL else sign for sign in value)
    if text.startswith(("#", " ")):
        text = "\\" + text
    return text[:-1] + "\\ " if text.endswith(" ") and len(text) > 1 else text


def subject(certificate: Any) -> str:
    """The subject of a certificate, such as `CN=dash-0412,O=dash-link`, or `-` if there is none.

    The common name comes first, then the rest from the last part to the first, as in RFC 4514.
    """
    parts = [
        "+".join(f"{SHORT.get(name, name)}={_escaped(value)}" for name, value in part)
        for part in reversed((certificate or {}).get("subject", ()))
    ]
    parts.sort(key=lambda part: not part.startswith("CN="))
    return ",".join(parts) or "-"


def reason(fault: BaseException) -> str:
    """Why a handshake failed, in one line."""
    if isinstance(fault, ssl.SSLCertVerificationError):
        return f"{fault.reason}: {fault.verify_message}"
    if isinstance(fault, ssl.SSLError) and fault.reason:
        return fault.reason
    return " ".join(str(fault).split()) or type(fault).__name__


class TlsContext:
    """The context of new handshakes; open connections retain the one that they started with.

    Raises ConfigError if the files cannot be used.
    """

    def __init__(self, settings: TlsSettings) -> None:
        self.settings = settings
        files = (settings.cert, settings.key, settings.client_ca)
        self.files = [Path(name) for name in files if name is not None]
        try:
            self.seen = self._digest()
            self.context = self._build()
        except (OSError, ValueError) as fault:
            raise ConfigError(f"bad settings: tls: {reason(fault)}") from None

    def _digest(self) -> bytes:
        digest = blake2b(digest_size=16)
        for file in self.files:
            digest.update(file.read_bytes() + b"\0")
        return digest.digest()

    def _build(self) -> ssl.SSLContext:
        """Create a new context, so that a failure half way leaves the current one intact."""
        settings = self.settings
        assert settings.cert is not None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = VERSIONS[settings.min_version]
        context.load_cert_chain(settings.cert, settings.key, password="")  # one with a pass phrase is no use
        if settings.client_cert != "off":
            context.load_verify_locations(settings.client_ca)
            context.verify_mode = CLIENT_CERT[settings.client_cert]
        return context

    def reload_if_changed(self) -> None:
        """Use changed files if they are consistent; otherwise log each change once."""
        try:
            seen = self._digest()
        except OSError as fault:
            seen = str(fault).encode()
        if seen == self.seen:
            return
        self.seen = seen
        try:
            self.context = self._build()
        except (OSError, ValueError) as fault:
            log.error("tls: the changed certificate is not used, the old one stays: %s", reason(fault))
        else:
            log.warning("tls: new connections get the changed certificate")

    async def run(self) -> None:
        """Check for changed files periodically until cancelled."""
        while True:
            await asyncio.sleep(self.settings.reload_s)
            await asyncio.to_thread(self.reload_if_changed)
