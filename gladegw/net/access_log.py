"""Access log: one line per request, for the features that identify clients."""

from __future__ import annotations

import json
import logging
import time

from gladegw.net.interfaces import RequestInfo

log = logging.getLogger(__name__)

MAX_PEER_TEXT_CHARS = 200  # for each text that a peer sent


def quoted(text: str) -> str:
    """Return text from a peer as an ASCII JSON string on one line, truncated to MAX_PEER_TEXT_CHARS."""
    return json.dumps(text[:MAX_PEER_TEXT_CHARS])


class AccessLog:
    """Request observer that logs the end of each request whose client was identified."""

    def __init__(self) -> None:
        log.setLevel(logging.INFO)

    def on_start(self, request: RequestInfo) -> None:
        """Do nothing; requests are logged when they end."""
        pass

    def on_end(self, request: RequestInfo, code: int | None) -> None:
        """Log the request; `code` is None if it got no response."""
        if request.peer is None:
            return
        log.info(
            "%s id=%s class=%s tenant=%s code=%s ms=%d",
            request.peer.log_text(),
            quoted(request.id),
            quoted(request.cls),
            quoted(request.tenant),
            code or "none",
            round((time.monotonic() - request.received_at) * 1000),
        )
