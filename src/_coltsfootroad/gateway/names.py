"""The header names that a gateway speaks towards callers and endpoints."""

import attrs

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Names of the headers; a platform with other names passes its own.

    Attributes:
        request_id: Id of one try of a caller; endpoints echo it.
        deadline_ms: Milliseconds for which the sender will wait.
        key: Key of a workspace; never passed on.
        workspace: Workspace that holds the key, set for endpoints.
        tokens: Prompt tokens and output tokens at most, by comma.
        signature: Proof that an answer is an endpoint's own.
        not_run: Endpoint's word that it did not run the request.
        expected_endpoint: Endpoint that alone may run the request.
        urgency: Rank at the engine, 0 first.
        helpers: Engines that read parts of the prompt.
        faulty_peer: Engine that made a shared reading fail.
    """

    request_id: str = "X-Request-Id"
    deadline_ms: str = "X-Deadline-Ms"
    key: str = "X-Api-Key"
    workspace: str = "X-Workspace"
    tokens: str = "X-Tokens"
    signature: str = "X-Signature"
    not_run: str = "X-Not-Run"
    expected_endpoint: str = "X-Expected-Endpoint"
    urgency: str = "X-Urgency"
    helpers: str = "X-Reading-Helpers"
    faulty_peer: str = "X-Faulty-Peer"
    last_event_id: str = "Last-Event-Id"
    retry_after: str = "Retry-After"

    def overridden(self) -> frozenset[str]:
        """Return the lower-case names that only the gateway may set."""
        names = (
            self.key,
            self.workspace,
            self.expected_endpoint,
            self.helpers,
            self.urgency,
            self.deadline_ms,
        )
        return frozenset(name.lower() for name in names)
