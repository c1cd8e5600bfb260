"""Admits or refuses a request by its route, its key and its deadline."""

import attrs
from expression import Error
from expression import Ok
from expression import Result
from tornado import httputil

from _coltsfootroad.core import errors
from _coltsfootroad.core import headernumbers
from _coltsfootroad.core import routes
from _coltsfootroad.core.placement import engineplacement
from _coltsfootroad.gateway import names as names_lib

MS = 1000
# Part of the caller's timeout that is left for the response to reach it.
RESPONSE_TRANSIT_S = 0.03
DEFAULT_DEADLINE_S = 30.0
# A gateway without routes has just started, often together with all other
# processes. Replicas elect a leader within 1.2 s of their start, and gateways
# learn of it at once. Callers retry once, so a retry that comes too early loses
# the request.
NO_ROUTES_RETRY_AFTER_S = 2.0
# After the leader is lost, an election takes at most 1.2 s.
FENCED_RETRY_AFTER_S = 1.2
# A newer version reaches all gateways within about this time.
OUTDATED_RETRY_AFTER_S = 0.2
# A stated timeout that is shorter than the route's by more than this means that
# the caller has spent the difference on an earlier try; network transit takes
# only a few milliseconds.
RETRIED_CALL_MARGIN_S = 0.1


@attrs.define
class CallerRequest:
    """A request as received.

    Attributes:
        start: Request line.
        headers: Headers as received.
        body: The complete body.
        arrived_at: Boot clock seconds when the headers were read.
        forwarded_by: Gateway that forwarded the request, empty if none did.
    """

    start: httputil.RequestStartLine
    headers: httputil.HTTPHeaders
    body: bytes
    arrived_at: float
    forwarded_by: str = ""

    def stated_number(self, name: str, default: int) -> int:
        """Return the number in a header, `default` if it holds none."""
        stated = headernumbers.read_count(self.headers.get(name, ""))
        return default if stated is None else stated

    def stated_timeout_s(self, names: names_lib.HeaderNames) -> float:
        """Return the timeout that the caller states, in seconds."""
        default_ms = int(DEFAULT_DEADLINE_S * MS)
        return self.stated_number(names.deadline_ms, default_ms) / MS


@attrs.frozen(kw_only=True)
class Admitted:
    """An admitted request's route and limits.

    Attributes:
        route: The request's route.
        service: The service that the request is routed to.
        workspace: Workspace of the request's key, empty for public routes.
        deadline: Boot clock seconds by which the response is due.
        prompt: Size of the prompt, None for plain requests.
        is_retry: Whether the caller seems to have spent time on an earlier try.
    """

    route: routes.Route
    service: routes.ServiceSpec
    workspace: str
    deadline: float
    prompt: engineplacement.Prompt | None
    is_retry: bool


@attrs.frozen
class Refused:
    """The reason for not admitting a request, and its route if known."""

    failure: errors.Failure
    route: str = ""


def refusal(
    code: errors.ErrorCode, message: str, retry_after_s: float | None = None
) -> errors.Failure:
    """Return a failure that states that the request did not run."""
    return errors.Failure(code, message, errors.Ran.NO, retry_after_s)


def admit(
    gateway, request: CallerRequest, request_id: str, now: float
) -> Result[Admitted, Refused]:
    """Return the route and limits of a request, or why it is refused."""
    table = gateway.view.table
    if table is None:
        return Error(
            Refused(
                refusal(
                    errors.ErrorCode.UNAVAILABLE,
                    "no routes are known yet",
                    NO_ROUTES_RETRY_AFTER_S,
                )
            )
        )
    host = request.headers.get("Host", "").partition(":")[0]
    path = request.start.path.partition("?")[0]
    route = table.match(host, path)
    failure = gateway_refusal(gateway, now) or outdated_refusal(
        gateway, request
    )
    if failure is not None:
        # Checked before "not found" and "unauthorized": with outdated routes,
        # an unknown host or key may exist by now.
        return Error(Refused(failure, route.name if route else ""))
    if route is None:
        text = f"no route for host {host!r} and path {path!r}"
        return Error(Refused(refusal(errors.ErrorCode.NOT_FOUND, text)))
    names = gateway.dialect.names
    workspace = find_workspace(table, route, request.headers.get(names.key, ""))
    if workspace is None:
        failure = refusal(errors.ErrorCode.UNAUTHORIZED, "the key is not known")
        return Error(Refused(failure, route.name))
    service = table.services[routes.choose_service(route, request_id)]
    return Ok(admitted(request, names, route, service, workspace))


def admitted(
    request: CallerRequest,
    names: names_lib.HeaderNames,
    route: routes.Route,
    service: routes.ServiceSpec,
    workspace: str,
) -> Admitted:
    """Return the limits of a request from its route and its headers."""
    stated_timeout_s = request.stated_timeout_s(names)
    return Admitted(
        route=route,
        service=service,
        workspace=workspace,
        # The earlier of the caller's and the route's deadline.
        deadline=request.arrived_at
        + min(stated_timeout_s - RESPONSE_TRANSIT_S, route.timeout_s),
        prompt=parse_prompt(request.headers.get(names.tokens, ""), route),
        is_retry=stated_timeout_s < route.timeout_s - RETRIED_CALL_MARGIN_S,
    )


def find_workspace(
    table: routes.RouteTable, route: routes.Route, key: str
) -> str | None:
    """Return a key's workspace, "" for public routes, None if unknown."""
    return table.workspace(key) if table.needs_key(route) else ""


def gateway_refusal(gateway, now: float) -> errors.Failure | None:
    """Return why the gateway admits no request now, None if it does."""
    view = gateway.view
    if not view.is_current(now):
        return refusal(
            errors.ErrorCode.ENTRY_FENCED,
            f"routes were proved current {view.age_s(now):.1f} s ago",
            FENCED_RETRY_AFTER_S,
        )
    if gateway.refuses_new_requests(now):
        return refusal(
            errors.ErrorCode.ENTRY_DRAINING, "this gateway stops", 0.0
        )
    return None


def outdated_refusal(gateway, request: CallerRequest) -> errors.Failure | None:
    """Return why a forwarded request needs newer routes, None if it does not.

    The forwarding gateway may have applied its version to this caller before.
    """
    if not request.forwarded_by:
        return None
    name = gateway.dialect.names.routes_version
    needed = headernumbers.read_integer(request.headers.get(name, ""))
    if needed is None or needed <= gateway.view.version:
        return None
    return refusal(
        errors.ErrorCode.UNAVAILABLE,
        f"version {needed} of the routes is not known yet",
        OUTDATED_RETRY_AFTER_S,
    )


def parse_prompt(
    text: str, route: routes.Route
) -> engineplacement.Prompt | None:
    """Return the prompt size from a header, None if it states none."""
    prompt, _, output = text.partition(",")
    prompt_tokens = headernumbers.read_count(prompt.strip())
    output_tokens = headernumbers.read_count(output.strip())
    if prompt_tokens is None or output_tokens is None:
        return None
    return engineplacement.Prompt(
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        target_s=route.target_s,
        gap_target_s=route.gap_target_s,
    )
