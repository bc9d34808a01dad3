"""One log line a request, for the features that promise to tell who asked."""

from __future__ import annotations

import json
import logging
import time

from gladegw.net.interfaces import RequestInfo

log = logging.getLogger(__name__)

MAX_TEXT_CHARS = 200  # characters of a peer's text


def quoted(text: str) -> str:
    """A peer's text in quotes, on one line and in plain characters whatever it holds."""
    return json.dumps(text[:MAX_TEXT_CHARS])


class AccessLog:
    def __init__(self) -> None:
        log.setLevel(logging.INFO)

    def on_start(self, asked: RequestInfo) -> None:
        pass

    def on_end(self, asked: RequestInfo, code: int | None) -> None:
        if asked.peer is None:
            return
        log.info(
            "%s id=%s class=%s tenant=%s code=%s ms=%d",
            asked.peer.log_text(),
            quoted(asked.id),
            quoted(asked.cls),
            quoted(asked.tenant),
            code or "none",
            round((time.monotonic() - asked.received_at) * 1000),
        )
