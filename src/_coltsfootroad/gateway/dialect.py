"""The parts of a gateway's protocol that differ between platforms."""

import abc

import attrs
import msgspec
from tornado import httputil

from _coltsfootroad.gateway import names as names_lib
from _coltsfootroad.gateway import upstream

MS = 1000


class MemoryRequests(abc.ABC):
    """Builds the requests that reserve and release an engine's memory."""

    @abc.abstractmethod
    def reserve(
        self, ticket: str, tokens: int, hold_s: float
    ) -> upstream.UpstreamRequest:
        """Return the request to reserve memory for `hold_s`, or to renew it."""

    @abc.abstractmethod
    def release(self, ticket: str) -> upstream.UpstreamRequest:
        """Return the request to release the memory of a ticket."""


class DefaultMemoryRequests(MemoryRequests):
    """The default memory requests, which the fake engines accept."""

    def reserve(self, ticket, tokens, hold_s):
        """Return a PUT request for the ticket."""
        body = {"tokens": tokens, "hold_ms": int(hold_s * MS)}
        return json_request("PUT", f"/v1/memory/{ticket}", body)

    def release(self, ticket):
        """Return a DELETE request for the ticket."""
        return json_request("DELETE", f"/v1/memory/{ticket}", {})


@attrs.frozen(kw_only=True)
class Dialect:
    """Header names and memory requests of a platform."""

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
