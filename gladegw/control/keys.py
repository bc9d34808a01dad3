"""Where each record stands below the prefix of an installation.

`live/` is what every member watches: who is there, who holds what. `told/` is what only holders of duties
read, and what would otherwise be sent to each member by each: figures change at every member every 2 s.
`kept/` is read by its name and watched by nobody: bundles.
"""

from __future__ import annotations

from dataclasses import dataclass

from gladegw.coordination.store import prefix_end

LIVE_PREFIX, REPORTED_PREFIX, RETAINED_PREFIX = "live", "told", "kept"
KeyRange = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class Keys:
    prefix: str

    def _key(self, *parts: str) -> bytes:
        return "/".join((self.prefix.rstrip("/"), *parts)).encode()

    def _below(self, *parts: str) -> KeyRange:
        first = self._key(*parts, "")
        return first, prefix_end(first)

    @property
    def all(self) -> KeyRange:
        return self._below()

    @property
    def live(self) -> KeyRange:
        return self._below(LIVE_PREFIX)

    @property
    def claims(self) -> KeyRange:
        """The part of `live/` with who holds what, in any fleet: what sorts before the members."""
        return self._below(LIVE_PREFIX)[0], self.members[0]

    @property
    def members(self) -> KeyRange:
        return self._below(LIVE_PREFIX, "members")

    @property
    def reported(self) -> KeyRange:
        return self._below(REPORTED_PREFIX)

    def member(self, name: str, incarnation: str) -> bytes:
        return self._key(LIVE_PREFIX, "members", name, incarnation)

    def duty(self, name: str) -> bytes:
        return self._key(LIVE_PREFIX, "duties", name)

    def successor(self, name: str) -> bytes:
        return self._key(LIVE_PREFIX, "heirs", name)

    def known_member(self, name: str) -> bytes:
        return self._key(REPORTED_PREFIX, "known", name)

    def member_metrics(self, name: str) -> bytes:
        return self._key(REPORTED_PREFIX, "figures", name)

    def fleet_record(self, name: str) -> bytes:
        return self._key(REPORTED_PREFIX, "fleet", name)

    @property
    def policy(self) -> KeyRange:
        return self._below(LIVE_PREFIX, "policy")

    @property
    def committed_policy(self) -> bytes:
        return self._key(LIVE_PREFIX, "policy", "force")

    @property
    def open_change(self) -> bytes:
        return self._key(LIVE_PREFIX, "policy", "change")

    @property
    def rollout(self) -> bytes:
        return self._key(LIVE_PREFIX, "policy", "rollout")

    @property
    def rollout_heartbeat(self) -> bytes:
        return self._key(LIVE_PREFIX, "policy", "sign")

    @property
    def program(self) -> bytes:
        return self._key(LIVE_PREFIX, "policy", "program")

    def supervisor(self, name: str) -> bytes:
        return self._key(LIVE_PREFIX, "supervisors", name)

    @property
    def rollout_evidence(self) -> bytes:
        return self._key(REPORTED_PREFIX, "rollout", "weighed")

    def finished_rollout(self, id: str) -> bytes:
        return self._key(REPORTED_PREFIX, "rollout", "ended", id)

    @property
    def votes(self) -> KeyRange:
        return self._below(REPORTED_PREFIX, "policy", "votes")

    def vote(self, name: str, incarnation: str) -> bytes:
        return self._key(REPORTED_PREFIX, "policy", "votes", name, incarnation)

    def change_outcome(self, id: str) -> bytes:
        return self._key(REPORTED_PREFIX, "policy", "ended", id)

    def history(self, epoch: int) -> bytes:
        return self._key(REPORTED_PREFIX, "policy", "history", f"{epoch:012d}")

    def bundle_attempts(self, digest: str, name: str) -> bytes:
        return self._key(RETAINED_PREFIX, "tries", digest, name)

    def bundle(self, digest: str) -> KeyRange:
        """All pieces of it; of all bundles where none is named."""
        return (
            self._below(RETAINED_PREFIX, "bundles", digest)
            if digest
            else self._below(RETAINED_PREFIX, "bundles")
        )

    def bundle_chunk(self, digest: str, number: int) -> bytes:
        return self._key(RETAINED_PREFIX, "bundles", digest, f"{number:06d}")

    def split(self, key: bytes) -> list[str]:
        """Kind and names: the parts below `live/` or `told/`."""
        return key.decode("utf-8", "replace")[len(self.prefix.rstrip("/")) + 1 :].split("/")[1:]

    def timeline(self, id: str) -> KeyRange:
        """All points of a rollout's course; of all courses where none is named."""
        return self._below(RETAINED_PREFIX, "courses", id) if id else self._below(RETAINED_PREFIX, "courses")

    def timeline_point(self, id: str, stage: int, window: int) -> bytes:
        return self._key(RETAINED_PREFIX, "courses", id, f"{stage:03d}-{window:06d}")
