"""Tells the endpoint set how the endpoints of a send did."""

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import sends
from _coltsfootroad.gateway import engines
from _coltsfootroad.gateway import names as names_lib
from _coltsfootroad.gateway import responses
from _coltsfootroad.gateway import upstream
from _coltsfootroad.shell import logs

LOG = logs.logger("request")
MIN_SERVER_ERROR_STATUS = 500
FAILURES = (sends.Outcome.LOST, sends.Outcome.NOT_RUN)


def update_endpoints(
    endpoints: endpointset.EndpointSet,
    choice: engines.Choice,
    outcome: sends.Outcome,
    end: upstream.CallEnd,
    sink: responses.BufferedResponse,
    now: float,
) -> None:
    """Note what a send says of the endpoints that took part."""
    name = choice.endpoint.name
    if end is upstream.CallEnd.STOPPED:
        # The gateway's own doing says nothing of an endpoint.
        return
    if not endpoints.is_current(choice.endpoint):
        # What an earlier start did says nothing of the present one.
        return
    misdirected = sink.genuine and sink.status == responses.MISDIRECTED
    if misdirected and not choice.helpers:
        endpoints.bury(name, choice.endpoint.announcement.incarnation)
        LOG.info("endpoint is another now", endpoint=name)
    elif outcome in FAILURES:
        for failed in failed_endpoints(choice, sink, sink.names):
            unreachable = end is upstream.CallEnd.NOT_SENT
            LOG.info(
                "endpoint rests",
                endpoint=failed,
                rest_s=endpoints.on_failure(failed, now, unreachable),
                outcome=outcome.value,
                end=end.value,
            )
    elif (
        outcome is sends.Outcome.ANSWERED
        and sink.status < MIN_SERVER_ERROR_STATUS
    ):
        endpoints.on_success(name)


def failed_endpoints(
    choice: engines.Choice,
    sink: responses.BufferedResponse,
    names: names_lib.HeaderNames,
) -> list[str]:
    """Return the helper that the answer names as faulty, else the first."""
    address = sink.headers.get(names.faulty_peer, "")
    faulty = [
        known.name
        for known in choice.helpers
        if known.announcement.address == address
    ]
    return faulty or [choice.endpoint.name]
