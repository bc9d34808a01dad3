"""The settings of the feature `tls`, which can be read without loading TLS itself."""

from __future__ import annotations

from dataclasses import dataclass

TLS_VERSIONS = ("1.2", "1.3")
CLIENT_CERT_MODES = ("off", "optional", "required")


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Settings in the `tls` block."""

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
        if self.min_version not in TLS_VERSIONS:
            raise ValueError(
                f"min_version must be one of {', '.join(TLS_VERSIONS)}, not {self.min_version!r}"
            )
        if not 1 <= self.reload_s <= 86_400:
            raise ValueError(f"reload_s must be 1 to 86400, not {self.reload_s}")
        if self.client_cert not in CLIENT_CERT_MODES:
            raise ValueError(
                f"client_cert must be one of {', '.join(CLIENT_CERT_MODES)}, not {self.client_cert!r}"
            )
        if self.client_cert != "off" and self.client_ca is None:
            raise ValueError(f"client_cert {self.client_cert!r} needs client_ca")
