"""Where each record stands below the prefix of an installation.

`live/` is what every member watches: who is there, who holds what. `told/` is what only holders of duties
read, and what would otherwise be sent to each member by each: figures change at every member every 2 s.
`kept/` is read by its name and watched by nobody: bundles.
"""

from __future__ import annotations

from dataclasses import dataclass

from gladegw.coordination.store import prefix_end

LIVE, TOLD, KEPT = "live", "told", "kept"
Range = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class Keys:
    prefix: str

    def _key(self, *parts: str) -> bytes:
        return "/".join((self.prefix.rstrip("/"), *parts)).encode()

    def _below(self, *parts: str) -> Range:
        first = self._key(*parts, "")
        return first, prefix_end(first)

    @property
    def all(self) -> Range:
        return self._below()

    @property
    def live(self) -> Range:
        return self._below(LIVE)

    @property
    def claims(self) -> Range:
        """The part of `live/` with who holds what, in any fleet: what sorts before the members."""
        return self._below(LIVE)[0], self.members[0]

    @property
    def members(self) -> Range:
        return self._below(LIVE, "members")

    @property
    def told(self) -> Range:
        return self._below(TOLD)

    def member(self, name: str, incarnation: str) -> bytes:
        return self._key(LIVE, "members", name, incarnation)

    def duty(self, name: str) -> bytes:
        return self._key(LIVE, "duties", name)

    def heir(self, name: str) -> bytes:
        return self._key(LIVE, "heirs", name)

    def known(self, name: str) -> bytes:
        return self._key(TOLD, "known", name)

    def figures(self, name: str) -> bytes:
        return self._key(TOLD, "figures", name)

    def fleet(self, name: str) -> bytes:
        return self._key(TOLD, "fleet", name)

    @property
    def policy(self) -> Range:
        return self._below(LIVE, "policy")

    @property
    def force(self) -> bytes:
        return self._key(LIVE, "policy", "force")

    @property
    def change(self) -> bytes:
        return self._key(LIVE, "policy", "change")

    @property
    def rollout(self) -> bytes:
        return self._key(LIVE, "policy", "rollout")

    @property
    def sign(self) -> bytes:
        return self._key(LIVE, "policy", "sign")

    @property
    def program(self) -> bytes:
        return self._key(LIVE, "policy", "program")

    def supervisor(self, name: str) -> bytes:
        return self._key(LIVE, "supervisors", name)

    @property
    def weighed(self) -> bytes:
        return self._key(TOLD, "rollout", "weighed")

    def rolled(self, id: str) -> bytes:
        return self._key(TOLD, "rollout", "ended", id)

    @property
    def votes(self) -> Range:
        return self._below(TOLD, "policy", "votes")

    def vote(self, name: str, incarnation: str) -> bytes:
        return self._key(TOLD, "policy", "votes", name, incarnation)

    def ended(self, id: str) -> bytes:
        return self._key(TOLD, "policy", "ended", id)

    def history(self, epoch: int) -> bytes:
        return self._key(TOLD, "policy", "history", f"{epoch:012d}")

    def tries(self, digest: str, name: str) -> bytes:
        return self._key(KEPT, "tries", digest, name)

    def bundle(self, digest: str) -> Range:
        """All pieces of it; of all bundles where none is named."""
        return self._below(KEPT, "bundles", digest) if digest else self._below(KEPT, "bundles")

    def piece(self, digest: str, number: int) -> bytes:
        return self._key(KEPT, "bundles", digest, f"{number:06d}")

    def split(self, key: bytes) -> list[str]:
        """Kind and names: the parts below `live/` or `told/`."""
        return key.decode("utf-8", "replace")[len(self.prefix.rstrip("/")) + 1 :].split("/")[1:]

    def course(self, id: str) -> Range:
        """All points of a rollout's course; of all courses where none is named."""
        return self._below(KEPT, "courses", id) if id else self._below(KEPT, "courses")

    def point(self, id: str, stage: int, window: int) -> bytes:
        return self._key(KEPT, "courses", id, f"{stage:03d}-{window:06d}")
