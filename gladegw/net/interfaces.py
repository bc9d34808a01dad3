"""Who calls, and what the callers' side and the driver ask of each other."""

from __future__ import annotations

import json
import socket
import ssl
from dataclasses import dataclass
from typing import Any, Protocol

from gladegw.net.request import Request


@dataclass(slots=True)
class ClientIdentity:
    """Who is at the other end of a connection, where a feature has to know."""

    client: str  # address and port
    via: str | None = None  # the front's address
    denied: bool = False
    subject: str | None = None  # of its certificate; None: not TLS

    def log_text(self) -> str:
        via = "" if self.via is None else f" via={self.via}"
        subject = "" if self.subject is None else f" client_subject={json.dumps(self.subject)}"
        return f"client={self.client}{via}{subject}"


@dataclass(slots=True)
class RequestInfo:
    """What is known of a request whatever becomes of it: peers' text, as it came."""

    id: str
    cls: str
    tenant: str
    received_at: float  # monotonic
    peer: ClientIdentity | None = None


class FlowControl(Protocol):
    """Where the rest of an answer comes from, held up while the caller takes nothing."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class ResponseSink(Protocol):
    """Where a call's answer goes: whole by `answer`, or served in parts by `begin`, `send`, then `finish` or
    `abort`."""

    def hung_up(self) -> bool:
        """Whether the caller has closed its connection, also where that was not read yet."""
        ...

    def answer(self, code: int, headers: Any, body: bytes) -> None: ...

    def begin(self, headers: Any, length: int | None, source: FlowControl) -> None: ...

    def send(self, chunk: bytes) -> None: ...

    def finish(self) -> None: ...

    def abort(self) -> None: ...


class Certificates(Protocol):
    """What a TLS port asks for: a connection keeps the context that it began with."""

    context: ssl.SSLContext


class ConnectionRejectedError(Exception):
    """A connection is closed before HTTP; the message says why, if there is anything to say."""


class ClientIdentifier(Protocol):
    """Who a connection's client is, from what comes before TLS and HTTP; raises TurnedAway."""

    async def identify(self, sock: socket.socket) -> ClientIdentity: ...


class RequestHandler(Protocol):
    """What the callers' side asks of the driver."""

    def on_request(self, request: Request, reply: ResponseSink) -> object: ...

    def on_body_complete(self, call: Any) -> None: ...

    def on_disconnect(self, call: Any) -> None: ...


def format_address(name: Any) -> str:
    """A socket's name as `host:port`."""
    host, port = name[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
