"""Duty `sweeper`: records when members were lost and removes the records of those lost for long."""

from __future__ import annotations

import time

import msgspec

from gladegw.control.duties.base import DutyContext, DutyWork
from gladegw.coordination.records import encode
from gladegw.coordination.store import Delete, Operation, Put

LOST_MEMBER_RETENTION_S = 24 * 3600.0  # after this time the record of a lost member is removed
MAX_WRITES_PER_STEP = 32  # below the number of operations that one transaction may have


class MemberCleanup(DutyWork):
    """Update of the known members' records.

    In a fleet with a committed policy, only operators remove members that were lost without signing off.
    """

    name = "sweeper"
    period = 1.0
    reads_reported = True

    async def step(self, context: DutyContext) -> None:
        """Update or delete records of known members, at most MAX_WRITES_PER_STEP of them.

        The time of loss is only displayed and used to remove records; a returning member is recorded again.
        """
        view, now = context.cache, time.time()
        live = {member.name for _, member in view.members()}
        operations: list[Operation] = []
        for kv, known in view.known_members():
            if known.name in live:
                if known.lost:
                    operations.append(Put(kv.key, encode(msgspec.structs.replace(known, lost=0.0), kv.value)))
            elif not known.lost:
                operations.append(Put(kv.key, encode(msgspec.structs.replace(known, lost=now), kv.value)))
            elif now - known.lost > LOST_MEMBER_RETENTION_S and (
                known.left or view.keys.committed_policy not in view.entries
            ):
                operations.append(Delete(kv.key))
        if operations:
            await context.effect(*operations[:MAX_WRITES_PER_STEP])
