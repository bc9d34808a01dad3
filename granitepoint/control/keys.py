"""Where each record stands below the prefix of an installation."""

from __future__ import annotations

from dataclasses import dataclass

from granitepoint.coordination.store import prefix_end


@dataclass(frozen=True, slots=True)
class Keys:
    prefix: str

    def _key(self, *parts: str) -> bytes:
        return "/".join((self.prefix.rstrip("/"), *parts)).encode()

    @property
    def all(self) -> tuple[bytes, bytes]:
        first = self._key("")
        return first, prefix_end(first)

    def member(self, name: str, incarnation: str) -> bytes:
        return self._key("members", name, incarnation)

    def known(self, name: str) -> bytes:
        return self._key("known", name)

    def duty(self, name: str) -> bytes:
        return self._key("duties", name)

    def heir(self, name: str) -> bytes:
        return self._key("heirs", name)

    def figures(self, name: str) -> bytes:
        return self._key("figures", name)

    def fleet(self, name: str) -> bytes:
        return self._key("fleet", name)

    def split(self, key: bytes) -> list[str]:
        """The parts below the prefix."""
        return key.decode("utf-8", "replace")[len(self.prefix.rstrip("/")) + 1 :].split("/")
