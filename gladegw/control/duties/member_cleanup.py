"""`sweeper`: notes when a member was lost, and removes what the long dead left."""

from __future__ import annotations

import time

import msgspec

from gladegw.control.duties.base import DutyContext, DutyWork
from gladegw.coordination.records import encode
from gladegw.coordination.store import Delete, Operation, Put

LOST_MEMBER_RETENTION_S = 24 * 3600.0  # s for which a member that was lost is missed
MAX_WRITES_PER_STEP = 32  # members looked after in one step, well below the operations of one transaction


class MemberCleanup(
    DutyWork
):  # where policies change, a name that did not sign off is an operator's to remove
    name = "sweeper"
    period = 1.0
    reads_reported = True

    async def step(self, holding: DutyContext) -> None:
        """`lost` is shown to people; nothing is decided by it but when a name is forgotten, which harms
        nobody: a member that comes back is known again."""
        view, now = holding.cache, time.time()
        live = {member.name for _, member in view.members()}
        done: list[Operation] = []
        for kv, known in view.known_members():
            if known.name in live:
                if known.lost:
                    done.append(Put(kv.key, encode(msgspec.structs.replace(known, lost=0.0), kv.value)))
            elif not known.lost:
                done.append(Put(kv.key, encode(msgspec.structs.replace(known, lost=now), kv.value)))
            elif now - known.lost > LOST_MEMBER_RETENTION_S and (
                known.left or view.keys.committed_policy not in view.entries
            ):
                done.append(Delete(kv.key))
        if done:
            await holding.effect(*done[:MAX_WRITES_PER_STEP])
