"""Tells the endpoint set how the endpoints of a send did."""

from _coltsfootroad.core import endpointset
from _coltsfootroad.core import sends
from _coltsfootroad.gateway import answers
from _coltsfootroad.gateway import engines
from _coltsfootroad.gateway import names as names_lib
from _coltsfootroad.gateway import upstream
from _coltsfootroad.shell import logs

LOG = logs.logger("request")
SERVER_FAULT = 500
FAILURES = (sends.Outcome.LOST, sends.Outcome.NOT_RUN)


def note(
    endpoints: endpointset.EndpointSet,
    choice: engines.Choice,
    outcome: sends.Outcome,
    end: upstream.CallEnd,
    sink: answers.HeldAnswer,
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
    misdirected = sink.genuine and sink.status == answers.MISDIRECTED
    if misdirected and not choice.helpers:
        endpoints.add_tombstone(name, choice.endpoint.announcement.incarnation)
        LOG.info("endpoint is another now", endpoint=name)
    elif outcome in FAILURES:
        for failed in blamed(choice, sink, sink.names):
            unreachable = end is upstream.CallEnd.NOT_SENT
            LOG.info(
                "endpoint rests",
                endpoint=failed,
                rest_s=endpoints.on_failure(failed, now, unreachable),
                outcome=outcome.value,
                end=end.value,
            )
    elif outcome is sends.Outcome.ANSWERED and sink.status < SERVER_FAULT:
        endpoints.on_success(name)


def blamed(
    choice: engines.Choice,
    sink: answers.HeldAnswer,
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
