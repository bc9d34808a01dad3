"""Keys of all records in the store, below the prefix of an installation.

`live/` holds the members, duty holders and the policy, and each member watches it or the parts it needs.
`told/` holds what members report and is read by duty holders only: member metrics change every 2 s, and if
each member watched them, the load would grow with the square of the fleet. `kept/` holds bundles and rollout
timelines, which are read by key and not watched.
"""

from __future__ import annotations

from dataclasses import dataclass

from gladegw.coordination.store import prefix_end

LIVE_PREFIX, REPORTED_PREFIX, RETAINED_PREFIX = "live", "told", "kept"
KeyRange = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class Keys:
    """Builder of the keys and key ranges of one installation."""

    prefix: str

    def _key(self, *parts: str) -> bytes:
        return "/".join((self.prefix.rstrip("/"), *parts)).encode()

    def _below(self, *parts: str) -> KeyRange:
        first = self._key(*parts, "")
        return first, prefix_end(first)

    @property
    def all(self) -> KeyRange:
        """Range of all keys of the installation."""
        return self._below()

    @property
    def live(self) -> KeyRange:
        """Range of the keys that members watch."""
        return self._below(LIVE_PREFIX)

    @property
    def claims(self) -> KeyRange:
        """Range of the duty holders, watched by every member: the keys of `live/` before the members."""
        return self._below(LIVE_PREFIX)[0], self.members[0]

    @property
    def members(self) -> KeyRange:
        """Range of the member records."""
        return self._below(LIVE_PREFIX, "members")

    @property
    def reported(self) -> KeyRange:
        """Range of the keys that only duty holders read."""
        return self._below(REPORTED_PREFIX)

    def member(self, name: str, incarnation: str) -> bytes:
        """Key of a member record."""
        return self._key(LIVE_PREFIX, "members", name, incarnation)

    def duty(self, name: str) -> bytes:
        """Key of a duty's holder."""
        return self._key(LIVE_PREFIX, "duties", name)

    def successor(self, name: str) -> bytes:
        """Key of a duty's designated successor."""
        return self._key(LIVE_PREFIX, "heirs", name)

    def known_member(self, name: str) -> bytes:
        """Key of the record that a member has existed."""
        return self._key(REPORTED_PREFIX, "known", name)

    def member_metrics(self, name: str) -> bytes:
        """Key of a member's metrics."""
        return self._key(REPORTED_PREFIX, "figures", name)

    def fleet_record(self, name: str) -> bytes:
        """Key of a record about the whole fleet."""
        return self._key(REPORTED_PREFIX, "fleet", name)

    @property
    def policy(self) -> KeyRange:
        """Range of the policy records."""
        return self._below(LIVE_PREFIX, "policy")

    @property
    def committed_policy(self) -> bytes:
        """Key of the committed policy."""
        return self._key(LIVE_PREFIX, "policy", "force")

    @property
    def open_change(self) -> bytes:
        """Key of the open policy change."""
        return self._key(LIVE_PREFIX, "policy", "change")

    @property
    def rollout(self) -> bytes:
        """Key of the current policy rollout."""
        return self._key(LIVE_PREFIX, "policy", "rollout")

    @property
    def rollout_heartbeat(self) -> bytes:
        """Key of the heartbeat of the rollout's controller."""
        return self._key(LIVE_PREFIX, "policy", "sign")

    @property
    def program(self) -> bytes:
        """Key of the current program rollout."""
        return self._key(LIVE_PREFIX, "policy", "program")

    def supervisor(self, name: str) -> bytes:
        """Key of a supervisor's record."""
        return self._key(LIVE_PREFIX, "supervisors", name)

    @property
    def rollout_evidence(self) -> bytes:
        """Key of the current rollout's evaluated evidence."""
        return self._key(REPORTED_PREFIX, "rollout", "weighed")

    def finished_rollout(self, id: str) -> bytes:
        """Key of the outcome of a rollout."""
        return self._key(REPORTED_PREFIX, "rollout", "ended", id)

    @property
    def votes(self) -> KeyRange:
        """Range of the votes on policy changes."""
        return self._below(REPORTED_PREFIX, "policy", "votes")

    def vote(self, name: str, incarnation: str) -> bytes:
        """Key of a member's vote."""
        return self._key(REPORTED_PREFIX, "policy", "votes", name, incarnation)

    def change_outcome(self, id: str) -> bytes:
        """Key of the outcome of a policy change."""
        return self._key(REPORTED_PREFIX, "policy", "ended", id)

    def history(self, epoch: int) -> bytes:
        """Key of a committed epoch in the history; the keys sort by epoch."""
        return self._key(REPORTED_PREFIX, "policy", "history", f"{epoch:012d}")

    def bundle_attempts(self, digest: str, name: str) -> bytes:
        """Key of the count of a member's attempts to prepare a bundle."""
        return self._key(RETAINED_PREFIX, "tries", digest, name)

    def bundle(self, digest: str) -> KeyRange:
        """Range of a bundle's chunks, or of all bundles if the digest is empty."""
        return (
            self._below(RETAINED_PREFIX, "bundles", digest)
            if digest
            else self._below(RETAINED_PREFIX, "bundles")
        )

    def bundle_chunk(self, digest: str, number: int) -> bytes:
        """Key of one chunk of a bundle."""
        return self._key(RETAINED_PREFIX, "bundles", digest, f"{number:06d}")

    def split(self, key: bytes) -> list[str]:
        """Split the part of a key below `live/`, `told/` or `kept/` into the record's kind and names."""
        return key.decode("utf-8", "replace")[len(self.prefix.rstrip("/")) + 1 :].split("/")[1:]

    def timeline(self, id: str) -> KeyRange:
        """Range of a rollout's timeline, or of all timelines if the id is empty."""
        return self._below(RETAINED_PREFIX, "courses", id) if id else self._below(RETAINED_PREFIX, "courses")

    def timeline_point(self, id: str, stage: int, window: int) -> bytes:
        """Key of one point of a rollout's timeline; the keys sort by stage and window."""
        return self._key(RETAINED_PREFIX, "courses", id, f"{stage:03d}-{window:06d}")
