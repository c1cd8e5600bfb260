"""Names of the HTTP headers between callers, gateway and endpoints."""

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
    """Names of the headers; a platform may define other names.

    Attributes:
        request_id: ID of one attempt of a caller; endpoints echo it.
        deadline_ms: Milliseconds for which the sender will wait.
        key: API key of a workspace; never forwarded.
        workspace: Workspace of the API key, set for endpoints.
        tokens: Prompt tokens and maximum output tokens, comma-separated.
        prompt_parts: Parts of the prompt as comma-separated `ID:TOKENS`; the
            last is the request's own.
        signature: Present if the endpoint itself produced the response.
        not_run: States that the endpoint did not run the request.
        expected_endpoint: The only endpoint that may run the request.
        urgency: Rank in the engine's queue, 0 first.
        helpers: Engines that prefill parts of the prompt.
        faulty_peer: Engine that made a shared prefill fail.
        cold_ms: Milliseconds for which the endpoint is still cold.
        last_event_id: ID of the last event received; the stream resumes after
            it.
        retry_after: Seconds after which a refused caller should retry.
        forwarded_by: Gateway that forwards the request to another one.
        routes_version: Lowest version of the routes that may apply to a
            forwarded request.
        attempts_left: Endpoints at which a forwarded request may still run.
    """

    request_id: str = "X-Request-Id"
    deadline_ms: str = "X-Deadline-Ms"
    key: str = "X-Api-Key"
    workspace: str = "X-Workspace"
    tokens: str = "X-Tokens"
    prompt_parts: str = "X-Prompt-Parts"
    signature: str = "X-Signature"
    not_run: str = "X-Not-Run"
    expected_endpoint: str = "X-Expected-Endpoint"
    urgency: str = "X-Urgency"
    helpers: str = "X-Reading-Helpers"
    faulty_peer: str = "X-Faulty-Peer"
    cold_ms: str = "X-Cold-Ms"
    last_event_id: str = "Last-Event-Id"
    retry_after: str = "Retry-After"
    forwarded_by: str = "X-Forwarded-By-Gateway"
    routes_version: str = "X-Gateway-Routes-Version"
    attempts_left: str = "X-Gateway-Attempts-Left"

    def overridden(self) -> frozenset[str]:
        """Return the lower-case names that only the gateway may set."""
        names = (
            self.key,
            self.workspace,
            self.expected_endpoint,
            self.helpers,
            self.urgency,
            self.deadline_ms,
            self.forwarded_by,
            self.routes_version,
            self.attempts_left,
        )
        return frozenset(name.lower() for name in names)
