"""What a route does itself: edits of a request's headers and target, fixed responses and redirects."""

from __future__ import annotations

from gladegw.net.request import BadRequestError, Headers
from gladegw.routing.model import Answer, Redirect, RequestView, Route


def fixed_response(answer: Answer) -> BadRequestError:
    """The fixed response of a route."""
    headers = ((b"retry-after", b"%.3f" % answer.retry_after),) if answer.retry_after else ()
    return BadRequestError(answer.code, answer.body or "answered by a route", headers)


def redirect_response(redirect: Redirect, ask: RequestView) -> BadRequestError:
    """The redirect response of a route."""
    query = f"?{ask.query_text}" if ask.query_text else ""
    location = redirect.location.replace("{path}", ask.path).replace("{query}", query)
    headers = ((b"location", location.encode("latin-1", "replace")),)
    return BadRequestError(redirect.code, f"see {location}", headers)


def edit_headers(headers: Headers, route: Route) -> Headers:
    """The headers with the route's edits applied: `put` replaces, `add` appends, `drop` removes."""
    edits = route.edits
    removed = {name.encode() for name, _ in edits.put} | {name.encode() for name in edits.drop}
    added = [(name.encode(), value.encode("latin-1")) for name, value in (*edits.put, *edits.add)]
    return [pair for pair in headers if pair[0] not in removed] + added


def rewrite_target(rewrite: str, matched: str, ask: RequestView) -> str:
    """The target with the matched prefix, or the complete matched path, replaced by `rewrite`."""
    rest = ask.path[len(matched) :]
    path = (rewrite.rstrip("/") + rest if rest else rewrite) or "/"
    return path + (f"?{ask.query_text}" if ask.query_text else "")
