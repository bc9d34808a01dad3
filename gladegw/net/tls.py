"""The feature `tls`: an additional TLS port, whose certificate files are reloaded while it serves."""

from __future__ import annotations

import asyncio
import logging
import ssl
from hashlib import blake2b
from pathlib import Path
from typing import Any

from gladegw.net.config import ConfigError
from gladegw.net.tls_settings import TlsSettings

log = logging.getLogger(__name__)

MIN_VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
VERIFY_MODES = {"off": ssl.CERT_NONE, "optional": ssl.CERT_OPTIONAL, "required": ssl.CERT_REQUIRED}
SHORT_ATTRIBUTE_NAMES = {
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
ESCAPED_CHARS = ',+"\\<>;='


def _escape(value: str) -> str:
    """Escape an attribute value of a distinguished name (RFC 4514)."""
    text = "".join("\\" + char if char in ESCAPED_CHARS else char for char in value)
    if text.startswith(("#", " ")):
        text = "\\" + text
    return text[:-1] + "\\ " if text.endswith(" ") and len(text) > 1 else text


def subject(certificate: Any) -> str:
    """The subject of a certificate, such as `CN=dash-0412,O=dash-link`, or `-` if there is none.

    The common name comes first, then the other relative distinguished names in the reverse order of
    the certificate, as in RFC 4514.
    """
    parts = [
        "+".join(f"{SHORT_ATTRIBUTE_NAMES.get(name, name)}={_escape(value)}" for name, value in part)
        for part in reversed((certificate or {}).get("subject", ()))
    ]
    parts.sort(key=lambda part: not part.startswith("CN="))
    return ",".join(parts) or "-"


def reason(error: BaseException) -> str:
    """Describe in one line why a handshake failed or the files could not be loaded."""
    if isinstance(error, ssl.SSLCertVerificationError):
        return f"{error.reason}: {error.verify_message}"
    if isinstance(error, ssl.SSLError) and error.reason:
        return error.reason
    return " ".join(str(error).split()) or type(error).__name__


class TlsContext:
    """Holds the SSL context for new handshakes; open connections keep the one that they started with.

    Raises ConfigError if the files cannot be used.
    """

    def __init__(self, settings: TlsSettings) -> None:
        self.settings = settings
        files = (settings.cert, settings.key, settings.client_ca)
        self.files = [Path(name) for name in files if name is not None]
        try:
            self.last_digest = self._digest()
            self.context = self._build()
        except (OSError, ValueError) as error:
            raise ConfigError(f"bad settings: tls: {reason(error)}") from None

    @staticmethod
    def describe_fault(error: BaseException) -> str:
        """Describe in one line why a handshake failed."""
        return reason(error)

    def _digest(self) -> bytes:
        hasher = blake2b(digest_size=16)
        for file in self.files:
            hasher.update(file.read_bytes() + b"\0")
        return hasher.digest()

    def _build(self) -> ssl.SSLContext:
        """Create a new context; if that fails, the current one remains unchanged."""
        settings = self.settings
        assert settings.cert is not None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = MIN_VERSIONS[settings.min_version]
        # The empty password makes an encrypted key an error instead of a prompt.
        context.load_cert_chain(settings.cert, settings.key, password="")
        if settings.client_cert != "off":
            context.load_verify_locations(settings.client_ca)
            context.verify_mode = VERIFY_MODES[settings.client_cert]
        return context

    def reload_if_changed(self) -> None:
        """Load the files if they have changed. If they cannot be used, keep the context and log that once."""
        try:
            digest = self._digest()
        except OSError as error:
            digest = str(error).encode()
        if digest == self.last_digest:
            return
        self.last_digest = digest
        try:
            self.context = self._build()
        except (OSError, ValueError) as error:
            log.error("tls: cannot load the changed certificate, keeping the previous one: %s", reason(error))
        else:
            log.warning("tls: loaded the changed certificate for new connections")

    async def run(self) -> None:
        """Check for changed files periodically until cancelled."""
        while True:
            await asyncio.sleep(self.settings.reload_s)
            await asyncio.to_thread(self.reload_if_changed)
