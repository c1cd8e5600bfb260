"""Updates the health of endpoints after a send."""

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
    """Record the outcome of a send for the endpoints that took part."""
    name = choice.endpoint.name
    if end in upstream.OWN_ENDS:
        return
    if not endpoints.is_current(choice.endpoint):
        # The outcome of an earlier incarnation does not apply to this one.
        return
    misdirected = sink.genuine and sink.status == responses.MISDIRECTED
    if misdirected and not choice.helpers:
        endpoints.add_tombstone(name, choice.endpoint.announcement.incarnation)
        LOG.info("address belongs to another endpoint", endpoint=name)
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
    """Return the helper that the response names as faulty, else the lead."""
    address = sink.headers.get(names.faulty_peer, "")
    faulty = [
        known.name
        for known in choice.helpers
        if known.announcement.address == address
    ]
    return faulty or [choice.endpoint.name]
