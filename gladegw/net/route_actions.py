"""What a route makes of a request's target and headers, and the answers that it gives by itself."""

from __future__ import annotations

from gladegw.net.request import BadRequestError, Headers
from gladegw.routing.model import Answer, Ask, Redirect, Route


def fixed(answer: Answer) -> BadRequestError:
    headers = ((b"retry-after", b"%.3f" % answer.retry_after),) if answer.retry_after else ()
    return BadRequestError(answer.code, answer.body or "answered by a route", headers)


def redirected(redirect: Redirect, ask: Ask) -> BadRequestError:
    query = f"?{ask.query_text}" if ask.query_text else ""
    location = redirect.location.replace("{path}", ask.path).replace("{query}", query)
    headers = ((b"location", location.encode("latin-1", "replace")),)
    return BadRequestError(redirect.code, f"see {location}", headers)


def edit(headers: Headers, route: Route) -> Headers:
    edits = route.edits
    gone = {name.encode() for name, _ in edits.put} | {name.encode() for name in edits.drop}
    more = [(name.encode(), value.encode("latin-1")) for name, value in (*edits.put, *edits.add)]
    return [pair for pair in headers if pair[0] not in gone] + more


def rewritten(rewrite: str, matched: str, ask: Ask) -> str:
    """The matched prefix, or the whole of an exact path, gives way."""
    rest = ask.path[len(matched) :]
    path = (rewrite.rstrip("/") + rest if rest else rewrite) or "/"
    return path + (f"?{ask.query_text}" if ask.query_text else "")
