"""How a gateway talks to callers and engines: names and orders."""

import abc

import attrs
import msgspec
from tornado import httputil

from _coltsfootroad.gateway import names as names_lib
from _coltsfootroad.gateway import upstream

MS = 1000


class MemoryRequests(abc.ABC):
    """Makes the calls that set an engine's memory aside and free it."""

    @abc.abstractmethod
    def reserve(
        self, ticket: str, tokens: int, hold_s: float
    ) -> upstream.UpstreamRequest:
        """Return the order to hold memory for `hold_s`, or to renew that."""

    @abc.abstractmethod
    def release(self, ticket: str) -> upstream.UpstreamRequest:
        """Return the order to free what a ticket holds."""


class DefaultMemoryRequests(MemoryRequests):
    """The product's own orders, which its stand-in engines take."""

    def reserve(self, ticket, tokens, hold_s):
        """Return a PUT of the ticket."""
        body = {"tokens": tokens, "hold_ms": int(hold_s * MS)}
        return json_request("PUT", f"/v1/memory/{ticket}", body)

    def release(self, ticket):
        """Return a DELETE of the ticket."""
        return json_request("DELETE", f"/v1/memory/{ticket}", {})


@attrs.frozen(kw_only=True)
class Dialect:
    """What differs between platforms in the calls of a gateway."""

    names: names_lib.HeaderNames = names_lib.HeaderNames()
    memory: MemoryRequests = attrs.Factory(DefaultMemoryRequests)


def json_request(
    method: str, target: str, body: dict
) -> upstream.UpstreamRequest:
    """Return a request with a JSON body."""
    data = msgspec.json.encode(body)
    headers = httputil.HTTPHeaders(
        {"Content-Type": "application/json", "Content-Length": str(len(data))}
    )
    return upstream.UpstreamRequest(
        method=method, target=target, headers=headers, body=data
    )
