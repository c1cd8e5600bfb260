"""Builds the upstream request from the caller's request."""

from tornado import httputil

from _coltsfootroad.gateway import engines
from _coltsfootroad.gateway import names as names_lib
from _coltsfootroad.gateway import upstream

MS = 1000
BODY_METHODS = ("POST", "PUT")


def upstream_request(
    exchange, choice: engines.Choice, now: float
) -> upstream.UpstreamRequest:
    """Return the request to send to the chosen endpoint."""
    names = exchange.names
    headers = httputil.HTTPHeaders()
    excluded = names.overridden() | names_lib.HOP_BY_HOP | {"content-length"}
    for name, value in exchange.request.headers.get_all():
        if name.lower() not in excluded:
            headers.add(name, value)
    # Headers that the caller lists in Connection are hop-by-hop as well.
    for name in exchange.request.headers.get("Connection", "").split(","):
        if name.strip() and name.strip() in headers:
            del headers[name.strip()]
    if exchange.request.body or exchange.request.start.method in BODY_METHODS:
        headers["Content-Length"] = str(len(exchange.request.body))
    left_ms = int((exchange.deadline - now) * MS)
    headers[names.deadline_ms] = str(max(1, left_ms))
    headers[names.expected_endpoint] = choice.endpoint.name
    if exchange.admitted.workspace:
        headers[names.workspace] = exchange.admitted.workspace
    if exchange.admitted.prompt is not None:
        headers[names.urgency] = str(exchange.rank(choice, now))
    if choice.helpers:
        headers[names.helpers] = ",".join(
            helper_values(choice, exchange.ticket)
        )
    if exchange.reply.last_event is not None:
        headers[names.last_event_id] = str(exchange.reply.last_event)
    return upstream.UpstreamRequest(
        method=exchange.request.start.method,
        target=exchange.request.start.path,
        headers=headers,
        body=exchange.request.body,
    )


def helper_values(choice: engines.Choice, ticket: str) -> list[str]:
    """Return the helpers' addresses, with the ticket of reserved memory."""
    holding = {share.endpoint.name for share in choice.shares}
    values = []
    for known in choice.helpers:
        value = known.announcement.address
        if known.name in holding:
            value += f"/{ticket}"
        values.append(value)
    return values
