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
    headers = end_to_end_headers(exchange, now)
    headers[names.expected_endpoint] = choice.endpoint.name
    if exchange.admitted.workspace:
        headers[names.workspace] = exchange.admitted.workspace
    if exchange.admitted.prompt is not None:
        headers[names.urgency] = str(exchange.rank(choice, now))
    if choice.helpers:
        headers[names.helpers] = ",".join(
            helper_values(choice, exchange.ticket)
        )
    return with_headers(exchange, headers)


def forwarded_request(exchange, now: float) -> upstream.UpstreamRequest:
    """Return the request to send to another gateway."""
    names = exchange.names
    gateway = exchange.gateway
    headers = end_to_end_headers(exchange, now)
    key = exchange.request.headers.get(names.key)
    if key is not None:
        headers[names.key] = key
    headers[names.forwarded_by] = gateway.settings.gateway
    headers[names.routes_version] = str(gateway.view.version)
    attempts_left = exchange.sends.attempts - exchange.sends.runs
    headers[names.attempts_left] = str(attempts_left)
    return with_headers(exchange, headers)


def end_to_end_headers(exchange, now: float) -> httputil.HTTPHeaders:
    """Return the caller's headers that are passed on, and those of the send."""
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
    if exchange.reply.last_event is not None:
        headers[names.last_event_id] = str(exchange.reply.last_event)
    return headers


def with_headers(
    exchange, headers: httputil.HTTPHeaders
) -> upstream.UpstreamRequest:
    """Return the caller's request with other headers."""
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
