"""Protocols between the downstream connections and the driver, and the data that they exchange."""

from __future__ import annotations

import json
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from gladegw.net.request import Request

if TYPE_CHECKING:
    import ssl


@dataclass(slots=True)
class ClientIdentity:
    """The client at the other end of a downstream connection, as determined by a `ClientIdentifier`."""

    client: str  # address and port
    via: str | None = None  # address of the load balancer in front
    denied: bool = False  # its requests are answered with 403
    subject: str | None = None  # of its certificate; None: not a TLS connection

    def log_text(self) -> str:
        """The identity as fields of a log line."""
        via = "" if self.via is None else f" via={self.via}"
        subject = "" if self.subject is None else f" client_subject={json.dumps(self.subject)}"
        return f"client={self.client}{via}{subject}"


@dataclass(slots=True)
class RequestInfo:
    """Attributes of a request for its observers, available however it ends.

    The texts come from the client and are not validated.
    """

    id: str
    cls: str
    tenant: str
    received_at: float  # monotonic
    peer: ClientIdentity | None = None


class FlowControl(Protocol):
    """The source of a streamed response, which is paused while the client does not read."""

    def pause(self) -> None:
        """Stop delivering body bytes."""

    def resume(self) -> None:
        """Deliver body bytes again."""


class ResponseSink(Protocol):
    """Receives the single response to a request.

    It is either given complete to `answer`, or streamed by `begin`, `send`, then `finish` or `abort`.
    """

    def hung_up(self) -> bool:
        """Whether the client has closed its connection, even if the event loop has not noticed yet."""
        ...

    def has_queued(self) -> bool:
        """Whether further requests that were read wait behind this one's response."""
        ...

    def answer(self, code: int, headers: Any, body: bytes) -> None:
        """Send a complete response."""

    def begin(self, headers: Any, length: int | None, source: FlowControl) -> None:
        """Start a streamed response with status 200; `length` is None if the size is unknown."""

    def send(self, chunk: bytes) -> None:
        """Send the next part of a streamed body."""

    def finish(self) -> None:
        """End a streamed response."""

    def abort(self) -> None:
        """Break off a streamed response, so that the client can tell that it is incomplete."""


class Certificates(Protocol):
    """Provides the current TLS context of a port; a connection retains the context that it started with."""

    context: ssl.SSLContext

    def describe_fault(self, error: BaseException) -> str:
        """Describe in one line why a handshake failed."""
        ...


class ConnectionRejectedError(Exception):
    """A connection is closed before HTTP; the message gives the reason and may be empty."""


class ClientIdentifier(Protocol):
    """Identifies the client of a connection by what precedes TLS and HTTP."""

    async def identify(self, sock: socket.socket) -> ClientIdentity:
        """The client of an accepted socket.

        Raises ConnectionRejectedError if the connection is to be closed.
        """


class RequestHandler(Protocol):
    """Handles the requests that the downstream connections receive."""

    def on_request(self, request: Request, reply: ResponseSink) -> object:
        """Start handling a request; the result identifies it in later notifications."""

    def on_body_complete(self, call: Any) -> None:
        """The streamed body of the request has been received completely."""

    def on_disconnect(self, call: Any) -> None:
        """The client disconnected before the response was complete."""


def format_address(name: Any) -> str:
    """A socket name as `host:port`, with IPv6 hosts in brackets."""
    host, port = name[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
