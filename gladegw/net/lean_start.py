"""Keeps libraries out of the process that the settings do not ask for; runs before asyncio is imported.

OpenSSL takes more memory than most of the proxy, and `asyncio`, `uvloop` and `hashlib` load it whether it is
used or not. Without TLS in the settings a placeholder stands for the module `ssl`, and `hashlib` uses its own
implementations.
"""

from __future__ import annotations

import sys
import types

# Blocks of the settings file whose features need no TLS.
BLOCKS_WITHOUT_TLS = frozenset(("figures", "capture", "addresses", "routes"))
ERRORS = (
    "SSLError",
    "SSLWantReadError",
    "SSLWantWriteError",
    "SSLSyscallError",
    "SSLZeroReturnError",
    "CertificateError",
)
CLASSES = ("SSLContext", "SSLObject", "SSLSocket", "MemoryBIO")
ERROR_NUMBERS = {"SSL_ERROR_WANT_READ": 2, "SSL_ERROR_WANT_WRITE": 3, "SSL_ERROR_SYSCALL": 5}


class TlsNotLoadedError(RuntimeError):
    """TLS is used in a process that has not loaded it."""


def _create_default_context(*_: object, **__: object) -> None:
    raise TlsNotLoadedError("TLS is not loaded: the settings have no block that needs it")


def placeholder() -> types.ModuleType:
    """A module with the names of `ssl` that `asyncio` and `uvloop` refer to when they are imported."""
    module = types.ModuleType("ssl", "Placeholder: TLS is not loaded.")
    for name in ERRORS:
        setattr(module, name, type(name, (OSError,), {}))
    for name in CLASSES:
        setattr(module, name, type(name, (), {}))
    for name, number in ERROR_NUMBERS.items():
        setattr(module, name, number)
    module.__dict__["create_default_context"] = _create_default_context
    return module


def omit_openssl_from_hashlib() -> None:
    """Let `hashlib` use the implementations of Python itself, unless it has been imported already."""
    if "hashlib" not in sys.modules:
        sys.modules["_hashlib"] = None  # type: ignore[assignment]


def omit_tls(blocks: frozenset[str]) -> bool:
    """Put the placeholder in the place of `ssl` if no block needs TLS; returns whether it was put there.

    A module that has been imported already stays.
    """
    if "ssl" in sys.modules or not blocks <= BLOCKS_WITHOUT_TLS:
        return False
    sys.modules["ssl"] = placeholder()
    return True
