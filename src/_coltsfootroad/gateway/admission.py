"""Whether a request is admitted: its route, its key, its time."""

import attrs
from expression import Error
from expression import Ok
from expression import Result
from tornado import httputil

from _coltsfootroad.core import engineplacement
from _coltsfootroad.core import errors
from _coltsfootroad.core import routes
from _coltsfootroad.gateway import names as names_lib

MS = 1000
# Time in which an answer still travels to the caller.
RETURN_MARGIN_S = 0.03
DEFAULT_DEADLINE_S = 30.0
# A gateway without routes has just started, often with all others: replicas
# elect a leader within 1.2 s of their start and gateways hear of it at once.
# Callers retry once, so coming back too early loses the request.
NO_ROUTES_RETRY_S = 2.0
# A gateway that lost the leader: an election takes 1.2 s at most.
FENCED_RETRY_S = 1.2
# A caller that states less than the route's timeout by more than this has
# spent the rest already; what travels takes a few milliseconds.
RETURNED_S = 0.1


@attrs.define
class CallerRequest:
    """A request as it came in.

    Attributes:
        start: Request line.
        headers: As received.
        body: The whole body.
        arrived_at: Boot clock seconds when the head was read.
    """

    start: httputil.RequestStartLine
    headers: httputil.HTTPHeaders
    body: bytes
    arrived_at: float

    def stated_s(self, names: names_lib.HeaderNames) -> float:
        """Return for how long the caller says that it will wait."""
        text = self.headers.get(names.deadline_ms, "")
        return int(text) / MS if text.isdigit() else DEFAULT_DEADLINE_S


@attrs.frozen(kw_only=True)
class Admitted:
    """What an admitted request may do.

    Attributes:
        route: Its route.
        service: The service that it goes to.
        workspace: Holder of its key, empty for public routes.
        deadline: Boot clock seconds by which it must be answered.
        prompt: Size of its prompt, None for plain requests.
        returned: Whether its caller seems to have waited elsewhere before.
    """

    route: routes.Route
    service: routes.ServiceSpec
    workspace: str
    deadline: float
    prompt: engineplacement.Prompt | None
    returned: bool


@attrs.frozen
class Refused:
    """Why a request is not admitted; the route's name if it has one."""

    failure: errors.Failure
    route: str = ""


def refusal(
    code: errors.ErrorCode, message: str, retry_after_s: float | None = None
) -> errors.Failure:
    """Return a failure that proves that nothing ran."""
    return errors.Failure(code, message, errors.Ran.NO, retry_after_s)


def admit(
    gateway, request: CallerRequest, request_id: str, now: float
) -> Result[Admitted, Refused]:
    """Return what a request may do, or why it is refused."""
    table = gateway.view.table
    if table is None:
        return Error(
            Refused(
                refusal(
                    errors.ErrorCode.UNAVAILABLE,
                    "no routes are known yet",
                    NO_ROUTES_RETRY_S,
                )
            )
        )
    host = request.headers.get("Host", "").partition(":")[0]
    path = request.start.path.partition("?")[0]
    route = table.match(host, path)
    fault = gateway_fault(gateway, now)
    if fault is not None:
        # Outdated routes give no definite answer: an unknown host or key may
        # be known by now.
        return Error(Refused(fault, route.name if route else ""))
    if route is None:
        text = f"no route for host {host!r} and path {path!r}"
        return Error(Refused(refusal(errors.ErrorCode.NOT_FOUND, text)))
    names = gateway.dialect.names
    workspace = holder(table, route, request.headers.get(names.key, ""))
    if workspace is None:
        fault = refusal(errors.ErrorCode.UNAUTHORIZED, "the key is not known")
        return Error(Refused(fault, route.name))
    service = table.services[routes.choose_service(route, request_id)]
    return Ok(admitted(request, names, route, service, workspace))


def admitted(
    request: CallerRequest,
    names: names_lib.HeaderNames,
    route: routes.Route,
    service: routes.ServiceSpec,
    workspace: str,
) -> Admitted:
    """Return what a request may do on its route, by what its headers say."""
    stated_s = request.stated_s(names)
    return Admitted(
        route=route,
        service=service,
        workspace=workspace,
        # The earlier of the caller's deadline and the route's.
        deadline=request.arrived_at
        + min(stated_s - RETURN_MARGIN_S, route.timeout_s),
        prompt=prompt_of(request.headers.get(names.tokens, ""), route),
        returned=stated_s < route.timeout_s - RETURNED_S,
    )


def holder(
    table: routes.RouteTable, route: routes.Route, key: str
) -> str | None:
    """Return the workspace of a key, empty if none is needed, else None."""
    return table.workspace(key) if table.needs_key(route) else ""


def gateway_fault(gateway, now: float) -> errors.Failure | None:
    """Return why the gateway itself admits nothing now, or None."""
    view = gateway.view
    if not view.is_current(now):
        return refusal(
            errors.ErrorCode.ENTRY_FENCED,
            f"routes were proved current {view.age_s(now):.1f} s ago",
            FENCED_RETRY_S,
        )
    if gateway.refuses_new(now):
        return refusal(
            errors.ErrorCode.ENTRY_DRAINING, "this gateway stops", 0.0
        )
    return None


def prompt_of(text: str, route: routes.Route) -> engineplacement.Prompt | None:
    """Return the prompt that a header tells of, None if it tells of none."""
    prompt, _, output = text.partition(",")
    if not (prompt.strip().isdigit() and output.strip().isdigit()):
        return None
    return engineplacement.Prompt(
        prompt_tokens=int(prompt),
        output_tokens=int(output),
        target_s=route.target_s,
        gap_target_s=route.gap_target_s,
    )
