"""Feeds the times of sends to what is learned of uneven endpoints."""

import collections
from collections.abc import Callable

import attrs

from _coltsfootroad.core import callrecords
from _coltsfootroad.core import endpointset
from _coltsfootroad.core import pace as pace_lib
from _coltsfootroad.core import routes
from _coltsfootroad.core import sends
from _coltsfootroad.core.placement import loadindex
from _coltsfootroad.core.placement import pacesampler
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import engines
from _coltsfootroad.gateway import upstream
from _coltsfootroad.shell import logs

LOG = logs.logger("pace")
MIN_SERVER_ERROR_STATUS = 500
FAILURES = (
    sends.Outcome.LOST,
    sends.Outcome.NOT_RUN,
    sends.Outcome.FAULT,
)


def is_plain_call(service: routes.ServiceSpec, route: routes.Route) -> bool:
    """Return whether requests are plain calls, neither prompts nor streams."""
    is_stream = route.kind is routes.RequestKind.STREAM
    return service.engine is None and not is_stream


@attrs.define(eq=False)
class SendPace:
    """The times of one send.

    Attributes:
        endpoint: The endpoint that responds.
        key: Key of the send's own work item.
        sent_at: Time of the send.
        sampler: Takes samples of an engine, None for other endpoints.
        is_call: Whether it is a plain call.
    """

    endpoint: endpointset.KnownEndpoint
    key: int
    sent_at: float
    sampler: pacesampler.PaceSampler | None = None
    is_call: bool = False


@attrs.define(eq=False)
class Pacing(workload.ResultObserver):
    """Learns from own sends and from the results of other gateways.

    Attributes:
        endpoints: The known endpoints.
        load: The work of all gateways.
        notify_peers: Schedules a summary to other gateways.
        paces: What is known of engines.
        calls: What is known of plain endpoints.
        counts: Counts of readings, results and changes, for the metrics.
    """

    endpoints: endpointset.EndpointSet
    load: workload.Workload
    notify_peers: Callable[[], None]
    calls: callrecords.CallRecords
    paces: pace_lib.PaceTable
    counts: collections.Counter = attrs.Factory(collections.Counter)

    # --- own sends ----------------------------------------------------------

    def begin(
        self,
        choice: engines.Choice,
        service: routes.ServiceSpec,
        route: routes.Route,
        key: int,
        is_resumed: bool,
        now: float,
    ) -> SendPace:
        """Return the times of a send that begins; its work is registered."""
        known = choice.endpoint
        send = SendPace(known, key, now)
        send.is_call = is_plain_call(service, route)
        work = self.load.own.get(key)
        # A prompt in the memory of several engines has longer passes.
        is_spread = bool(choice.shares)
        if service.engine is not None and not is_spread and work is not None:
            send.sampler = pacesampler.PaceSampler(
                self.load.index,
                service.engine,
                known.name,
                (workload.OWN_GATEWAY, key),
                now,
                known.restarted_at,
                is_resumed or not work.prompt_tokens,
            )
        return send

    def on_events(
        self, send: SendPace, count: int, delayed: bool, now: float
    ) -> None:
        """Process `count` events of a stream that arrived together."""
        sampler, known = send.sampler, send.endpoint
        if sampler is None or send.key not in self.load.own:
            return
        if not self.endpoints.is_current(known):
            return
        suspected = self.paces.is_suspected(known, now)
        if not sampler.on_events(now, count, delayed, suspected):
            return
        self.counts["own"] += 1
        slowdown = sampler.stream.reading
        if self.load.set_slowdown(send.key, slowdown, now):
            self.notify_peers()
        stream = (workload.OWN_GATEWAY, send.key)
        self.record(known, stream, slowdown, now)

    def end(
        self,
        send: SendPace,
        outcome: sends.Outcome,
        end: upstream.CallEnd,
        status: int,
        now: float,
    ) -> None:
        """Record the outcome of a plain call."""
        known = send.endpoint
        if not send.is_call or end in upstream.OWN_ENDS:
            return
        if not self.endpoints.is_current(known):
            return
        if outcome in FAILURES or status >= MIN_SERVER_ERROR_STATUS:
            self.fail(send, now)
            return
        seconds = now - send.sent_at
        self.calls.on_response(known, seconds, now)
        result = workload.CallResult(took_ms=max(1, int(seconds * workload.MS)))
        self.load.add_result(send.key, result)

    def on_deadline(self, send: SendPace | None, now: float) -> None:
        """Record that a call had no response by its deadline."""
        if send is None or not send.is_call:
            return
        if self.endpoints.is_current(send.endpoint):
            self.fail(send, now)

    def fail(self, send: SendPace, now: float) -> None:
        """Record the failure of a plain call and report it to others."""
        self.counts["own_failures"] += 1
        self.calls.on_failure(send.endpoint, now)
        result = workload.CallResult(failed_at=send.endpoint.name)
        self.load.add_result(send.key, result)
        self.notify_peers()

    # --- results of other gateways ------------------------------------------

    def on_slowdown(
        self, key: loadindex.WorkKey, work: work_lib.WorkItem, now: float
    ) -> None:
        """Receive an engine's slowdown as a stream observed it."""
        known = self.endpoints.known.get(work.endpoint)
        if known is not None and work.sent_at > known.restarted_at:
            self.counts["foreign"] += 1
            self.record(known, key, work.slowdown, now)

    def on_call_time(
        self, work: work_lib.WorkItem, seconds: float, now: float
    ) -> None:
        """Receive the time that a plain call took."""
        known = self.endpoints.known.get(work.endpoint)
        if known is not None and work.sent_at > known.restarted_at:
            self.calls.on_response(known, seconds, now)

    def on_call_failure(self, endpoint: str, now: float) -> None:
        """Receive the failure of a plain call."""
        known = self.endpoints.known.get(endpoint)
        if known is not None:
            self.counts["foreign_failures"] += 1
            self.calls.on_failure(known, now)

    # --- engines -------------------------------------------------------------

    def record(
        self,
        known: endpointset.KnownEndpoint,
        stream: loadindex.WorkKey,
        slowdown: float,
        now: float,
    ) -> None:
        """Record a reading of an engine."""
        self.log(self.paces.observe(known, stream, slowdown, now))

    def advance(self, now: float) -> None:
        """Drop what is too old or has ended; called periodically."""
        self.log(self.paces.advance(now))
        self.calls.retain(self.endpoints.known)

    def log(self, changes: list[pace_lib.PaceChange]) -> None:
        """Log changes of the slowdown that placement uses."""
        for change in changes:
            self.counts["changes"] += 1
            LOG.info(
                "slowdown changed",
                endpoint=change.endpoint,
                before=change.before,
                after=change.after,
                readings=change.readings,
                slow=change.slow,
                sound=change.sound,
            )

    # --- for operators -------------------------------------------------------

    def slow_engines(self) -> dict[str, int]:
        """Return the number of engines that count as slow, by service."""
        return {
            service: len(paces.counted)
            for service, paces in self.paces.services.items()
        }

    def dump(self) -> dict[str, object]:
        """Return what is known of uneven endpoints."""
        return {
            "slow_engines": {
                service: {
                    "counted": list(paces.counted),
                    "waiting": list(paces.waiting),
                    "sound": len(paces.sound),
                }
                for service, paces in self.paces.services.items()
            },
            "calls": {
                name: {
                    "factor": calls.factor,
                    "median_s": calls.median_s(),
                    "failures": len(calls.failures),
                    "suspected_until": calls.suspected_until,
                }
                for name, calls in self.calls.endpoints.items()
            },
            "counts": dict(self.counts),
        }

    def add_metrics(self, metrics) -> None:
        """Register the metrics."""
        metrics.labelled_gauge(
            "colts_gateway_slow_engines",
            "Engines that count as slow",
            "service",
            self.slow_engines,
        )
        metrics.labelled_gauge(
            "colts_gateway_call_factor",
            "Factor on the expected time of a plain endpoint's calls",
            "endpoint",
            lambda: {
                name: calls.factor
                for name, calls in self.calls.endpoints.items()
            },
        )
        metrics.labelled_counter(
            "colts_gateway_pace",
            "Readings of engines, failed calls and changes of slowdowns",
            "kind",
            lambda: dict(self.counts),
        )
