"""The operators' settings file: each block that it contains enables and configures a feature."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import Any

from gladegw.net import hcl
from gladegw.net.addresses import AddressSettings, parse_network
from gladegw.net.capture import CaptureSettings
from gladegw.net.config import ConfigError, address
from gladegw.net.metrics import MetricsSettings
from gladegw.net.tls_settings import TlsSettings

TEMPLATE_MARKERS = ("${", "%{")  # HCL templates are not evaluated, so values that contain them are rejected


@dataclass(frozen=True, slots=True)
class RoutesSettings:
    """Settings of the block `routes`.

    Defined here, since the feature's code is imported only if it is configured.
    """

    file: str = ""
    watch_ms: int = 1000  # interval between checks of the file; 0: it is reread on SIGHUP only
    mirrors: int = 64  # maximum number of open mirrored requests

    def __post_init__(self) -> None:
        if not self.file:
            raise ValueError("file must name a file of routes")
        if not (self.watch_ms == 0 or 50 <= self.watch_ms <= 3_600_000):
            raise ValueError(f"watch_ms must be 0 or 50 to 3600000, not {self.watch_ms}")
        if not 1 <= self.mirrors <= 10_000:
            raise ValueError(f"mirrors must be 1 to 10000, not {self.mirrors}")


@dataclass(frozen=True, slots=True)
class CoordinationSettings:
    """Settings of the block `coordination`: the store that all proxies of an installation use.

    Defined here, since the feature's code is imported only if it is configured.
    """

    endpoints: tuple[str, ...] = ()
    prefix: str = ""
    ttl_s: int = 5  # time to live of the lease that covers membership and held duties
    timeout_ms: int = 1000  # for each call
    token_file: str = ""

    def __post_init__(self) -> None:
        if not self.endpoints:
            raise ValueError("endpoints must name the store's addresses")
        if not self.prefix.startswith("/") or self.prefix.rstrip("/") == "":
            raise ValueError("prefix must begin with a slash and contain more than slashes")
        if not 1 <= self.ttl_s <= 3600:
            raise ValueError(f"ttl_s must be 1 to 3600, not {self.ttl_s}")
        if not 50 <= self.timeout_ms <= 60_000:
            raise ValueError(f"timeout_ms must be 50 to 60000, not {self.timeout_ms}")
        _ = self.addresses

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        """The parsed endpoints; raises ValueError."""
        return tuple(address(text) for text in self.endpoints)


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """Settings of the block `policy`: routes that all proxies change together."""

    when_cut_off: str = "serve"
    deadline_s: int = 30  # time limit for a change; it is aborted if it is not decided by then
    stamp_pools: tuple[str, ...] = ()  # patterns of pools; requests to them are stamped with the policy epoch
    stamp_from: tuple[str, ...] = ()  # networks of the proxies whose stamps are trusted
    hold_s: int = 10  # time for which a replaced policy still applies to requests stamped with it

    def __post_init__(self) -> None:
        if self.when_cut_off not in ("refuse", "serve"):
            raise ValueError(f"when_cut_off must be refuse or serve, not {self.when_cut_off}")
        if not 1 <= self.deadline_s <= 3600:
            raise ValueError(f"deadline_s must be 1 to 3600, not {self.deadline_s}")
        if not 1 <= self.hold_s <= 600:
            raise ValueError(f"hold_s must be 1 to 600, not {self.hold_s}")
        for text in self.stamp_from:
            try:
                parse_network(text)
            except ValueError as fault:
                raise ValueError(f"stamp_from: {fault}") from None


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Settings of the block `rollout`: staged policy changes, evaluated by the members' metrics."""

    confirm_s: int = 20  # a member of a stage reverts if it hears nothing of the rollout for this time

    def __post_init__(self) -> None:
        if not 2 <= self.confirm_s <= 3600:
            raise ValueError(f"confirm_s must be 2 to 3600, not {self.confirm_s}")


@dataclass(frozen=True, slots=True)
class Features:
    """The configured features; None for those without a block in the settings file."""

    figures: MetricsSettings | None = None
    tls: TlsSettings | None = None
    capture: CaptureSettings | None = None
    addresses: AddressSettings | None = None
    routes: RoutesSettings | None = None
    coordination: CoordinationSettings | None = None
    policy: PolicySettings | None = None
    rollout: RolloutSettings | None = None

    def __post_init__(self) -> None:
        if self.policy is not None and (self.coordination is None or self.routes is None):
            raise ValueError("policy needs the blocks coordination and routes")
        if self.rollout is not None and self.policy is None:
            raise ValueError("rollout needs the block policy")

    def __bool__(self) -> bool:
        return any(getattr(self, field.name) is not None for field in dataclasses.fields(self))


BLOCKS: dict[str, Any] = {
    "figures": MetricsSettings,
    "tls": TlsSettings,
    "capture": CaptureSettings,
    "addresses": AddressSettings,
    "routes": RoutesSettings,
    "coordination": CoordinationSettings,
    "policy": PolicySettings,
    "rollout": RolloutSettings,
}


def _is_plain_string(value: object) -> bool:
    return isinstance(value, str) and not any(marker in value for marker in TEMPLATE_MARKERS)


def _convert(kind: str, value: object) -> Any:
    """Check and convert a value; `kind` is the type that the dataclass declares.

    Raises ValueError.
    """
    if kind == "int" and isinstance(value, int) and not isinstance(value, bool):
        return value
    if kind == "str" and _is_plain_string(value):
        return value
    if kind == "tuple[str, ...]" and isinstance(value, list) and all(map(_is_plain_string, value)):
        return tuple(value)
    wanted = {"int": "a whole number", "str": "a text", "tuple[str, ...]": "a list of texts"}[kind]
    raise ValueError(f"must be {wanted}, not {value!r}")


def _read_block(name: str, raw: dict[str, Any]) -> Any:
    settings = BLOCKS.get(name)
    if settings is None:
        raise ValueError(f"unknown block {name}")
    kinds = {field.name: str(field.type).removesuffix(" | None") for field in dataclasses.fields(settings)}
    values = {}
    for key, value in raw.items():
        if key not in kinds:
            raise ValueError(f"{name}: unknown setting {key}")
        if value is not None:
            try:
                values[key] = _convert(kinds[key], value)
            except ValueError as fault:
                raise ValueError(f"{name}: {key} {fault}") from None
    try:
        return settings(**values)
    except ValueError as fault:
        raise ValueError(f"{name}: {fault}") from None


def read(path: str, blocks: hcl.Blocks | None = None) -> Features:
    """Read the settings file, or use its `blocks` if they have been read already.

    Raises ConfigError with a message of one line.
    """
    try:
        found = hcl.read(path) if blocks is None else blocks
        return Features(**{name: _read_block(name, raw) for name, raw in found.items()})
    except ValueError as fault:
        raise ConfigError(" ".join(f"bad settings: {path}: {fault}".split())) from None
