"""Applies `core/fairadmission.py` to the prompts that arrive at a gateway."""

import math
import random

import attrs

from _coltsfootroad.core import fairadmission
from _coltsfootroad.core import fairqueue
from _coltsfootroad.core import hashing
from _coltsfootroad.core import routes
from _coltsfootroad.core.fairness import refusalledger
from _coltsfootroad.core.fairness import usage
from _coltsfootroad.core.placement import work as work_lib
from _coltsfootroad.core.placement import workload
from _coltsfootroad.gateway import engines
from _coltsfootroad.shell import clocks
from _coltsfootroad.shell import logs

LOG = logs.logger("fairness")
# Request hashes in messages, 48 bits: with 4,096 entries, a first try passes
# for a retry with a probability of 1e-11.
REQUEST_HASH_RANGE = 2**48
# Work of other gateways that is first seen later than this was not sent in the
# last second, and is not counted.
MAX_UNSEEN_AGE_S = 1.5
# Gateways whose last counted key is remembered.
MAX_GATEWAYS = 2_048
NO_VERSION = -1


@attrs.define(eq=False)
class Fairness:
    """Measures usage of all gateways and decides on own arrivals.

    Attributes:
        gateway: The gateway.
        rng: Spreads the retry delays.
        enabled_always: Whether scarce capacity is shared also where all
            workspaces have the same priority.
        services: Decisions by service.
        ledger: Refused requests of all gateways.
        counted: Incarnation and highest counted key by other gateway.
        active: Whether the routes in force call for fairness.
        version: Version of the routes that `active` and `priorities` are for.
        priorities: Priorities of workspaces that have one.
    """

    gateway: object
    rng: random.Random
    enabled_always: bool = False
    services: dict[str, fairadmission.FairAdmission] = attrs.Factory(dict)
    ledger: refusalledger.RefusalLedger = attrs.Factory(
        refusalledger.RefusalLedger
    )
    counted: dict[str, tuple[int, int]] = attrs.Factory(dict)
    active: bool = False
    version: int = NO_VERSION
    priorities: dict[str, int] = attrs.Factory(dict)

    def is_active(self) -> bool:
        """Return whether the routes or settings call for fairness."""
        view = self.gateway.view
        if view.version != self.version and view.table is not None:
            self.apply_routes(view.table.config)
        return self.active

    def apply_routes(self, config: routes.RouteConfig) -> None:
        """Apply the priorities of a version of the routes."""
        self.version = config.version
        self.priorities = {
            holder.workspace: holder.priority
            for holder in config.holders
            if holder.priority is not None
        }
        # Equal priorities call for nothing: all workspaces are served alike.
        differ = len({holder.priority for holder in config.holders}) > 1
        self.active = bool(config.holders) and (self.enabled_always or differ)
        weights = self.weights()
        for decision in self.services.values():
            decision.weights = weights

    def weights(self) -> dict[int, float]:
        """Return the weights of workspaces with a priority."""
        return {
            usage.workspace_tag(workspace): fairqueue.priority_factor(priority)
            for workspace, priority in self.priorities.items()
        }

    def decision(self, service: str) -> fairadmission.FairAdmission:
        """Return the decision for a service."""
        if service not in self.services:
            self.services[service] = fairadmission.FairAdmission(
                self.rng, self.weights()
            )
        return self.services[service]

    def tag(self, workspace: str) -> int:
        """Return a workspace's tag for messages, none if inactive."""
        if not self.is_active():
            return usage.NO_WORKSPACE
        return usage.workspace_tag(workspace)

    # --- usage --------------------------------------------------------------

    def on_own_work(self, work: work_lib.WorkItem, now: float) -> None:
        """Count a prompt that this gateway is about to send."""
        if self.is_active():
            self.count(work, now)

    def on_foreign_work(
        self,
        gateway: str,
        incarnation: int,
        key: int,
        work: work_lib.WorkItem,
        now: float,
    ) -> None:
        """Count a prompt of another gateway once.

        Keys grow with each prompt; full summaries repeat those in flight.
        """
        if not self.is_active():
            return
        seen = self.counted.get(gateway)
        if seen is not None and seen >= (incarnation, key):
            return
        self.counted.pop(gateway, None)
        self.counted[gateway] = (incarnation, key)
        if len(self.counted) > MAX_GATEWAYS:
            del self.counted[next(iter(self.counted))]
        if now - work.sent_at <= MAX_UNSEEN_AGE_S:
            self.count(work, now)

    def count(self, work: work_lib.WorkItem, now: float) -> None:
        """Count a prompt's engine time for its workspace."""
        if not (work.leads and work.prompt_tokens):
            return
        known = self.gateway.endpoints.known.get(work.endpoint)
        table = self.gateway.view.table
        if known is None or table is None:
            return
        spec = table.services.get(known.announcement.service)
        if spec is None or spec.engine is None:
            return
        engine_s = usage.engine_seconds(
            spec.engine, work.prompt_tokens, work.output_tokens
        )
        self.decision(spec.name).recent.add(
            work.workspace, engine_s, work.queued, now
        )

    def knows_others(self, now: float) -> bool:
        """Return whether another gateway in rotation reported recently."""
        others = {m.entry for m in self.gateway.view.rotation.current()}
        others.discard(self.gateway.settings.gateway)
        return not others or any(
            now - known.received_at <= workload.GATEWAY_TIMEOUT_S
            for known in self.gateway.load.foreign.values()
        )

    # --- decisions ----------------------------------------------------------

    def request_hash(self, exchange) -> int:
        """Return the hash that identifies a request over its tries."""
        fingerprint = exchange.guard.fingerprint()
        whole = hashing.stable_hash(fingerprint.workspace, fingerprint.text)
        return whole % REQUEST_HASH_RANGE

    def retry(self, exchange, now: float) -> refusalledger.Retry:
        """Return what is known of an earlier try of a request."""
        if not self.ledger.known:
            return refusalledger.Retry.NONE
        return self.ledger.classify(
            self.request_hash(exchange), self.stated_deadline(exchange), now
        )

    def stated_deadline(self, exchange) -> float:
        """Return the caller's own deadline in seconds of the boot clock."""
        request = exchange.request
        return request.arrived_at + request.stated_timeout_s(exchange.names)

    def is_retry(self, exchange, now: float) -> bool:
        """Return whether a request has the precedence of a retry."""
        if not exchange.admitted.is_retry:
            return False
        early = refusalledger.Retry.EARLY
        return not self.is_active() or self.retry(exchange, now) is not early

    def refusal(
        self, exchange, choice: engines.Choice, now: float
    ) -> fairadmission.Refusal | None:
        """Return why a request is refused before its first send, if it is."""
        admitted, engine = exchange.admitted, exchange.service.engine
        prompt = admitted.prompt
        if prompt is None or engine is None or not self.is_active():
            return None
        priority = self.priorities.get(
            admitted.workspace, admitted.route.priority
        )
        arrival = fairadmission.Arrival(
            workspace=usage.workspace_tag(admitted.workspace),
            groups=self.groups(exchange),
            engine_s=usage.engine_seconds(
                engine, prompt.prompt_tokens, prompt.output_tokens
            ),
            value=prompt.value,
            priority=priority,
            predicted_s=choice.predicted_s,
            target_left_s=exchange.request.arrived_at + prompt.target_s - now,
            left_s=admitted.deadline - now,
            retry=self.retry(exchange, now),
        )
        decision = self.decision(exchange.service.name)
        was_scarce = decision.scarcity.scarce
        refusal = decision.decide(
            arrival,
            choice.batch_slots // engine.slots,
            self.knows_others(now),
            now,
        )
        if decision.scarcity.scarce is not was_scarce:
            LOG.info(
                "capacity scarce" if not was_scarce else "capacity suffices",
                service=exchange.service.name,
                missed=round(decision.recent.missed(now), 1),
                missed_share=round(decision.recent.missed_share(), 3),
            )
        if refusal is not None:
            self.record(exchange, refusal.retry_after_s, now)
            LOG.info(
                "refused for scarce capacity",
                request=exchange.request_id,
                workspace=admitted.workspace,
                reason=refusal.reason.value,
                priority=priority,
                retry=arrival.retry.value,
                engine_s=round(arrival.engine_s, 3),
                predicted_s=round(choice.predicted_s, 3),
                left_s=round(arrival.left_s, 3),
                used_s=round(refusal.used_s, 2),
                allowed_s=round(refusal.allowed_s, 2),
                total_s=round(refusal.total_s, 1),
                queued_share=round(refusal.queued_share, 3),
                retry_after_s=round(refusal.retry_after_s, 3),
            )
        return refusal

    def groups(self, exchange) -> tuple[str, ...]:
        """Return the groups that are served at least half as often as the mean.

        Gateways know no sessions; callers of one session share an API key. A
        size class holds prompts whose lengths differ by up to four times.
        """
        admitted = exchange.admitted
        key = exchange.request.headers.get(exchange.names.key, "")
        size = int(math.log(max(1, admitted.prompt.prompt_tokens), 4))
        return (
            f"workspace {admitted.workspace}",
            f"session {hashing.stable_hash(key, 'session'):x}",
            f"route {admitted.route.name}",
            f"size {size}",
        )

    def bound_shed_delay(
        self, exchange, delay_s: float | None, now: float
    ) -> float | None:
        """Return the bounded delay of a shed request, and remember it."""
        if delay_s is None or not self.is_active():
            return delay_s
        left_s = exchange.admitted.deadline - now
        if delay_s > fairadmission.RETRY_PART * left_s:
            delay_s = fairadmission.retry_delay_s(delay_s, left_s, self.rng)
        self.record(exchange, delay_s, now)
        return delay_s

    def record(self, exchange, delay_s: float, now: float) -> None:
        """Remember a refused request here and at the other gateways."""
        self.ledger.record(
            self.request_hash(exchange),
            now + delay_s,
            self.stated_deadline(exchange),
        )
        self.gateway.notify_peers()

    # --- operators ----------------------------------------------------------

    def refused(self) -> dict[str, int]:
        """Return the number of refusals by reason."""
        counts = {reason.value: 0 for reason in fairadmission.Reason}
        for decision in self.services.values():
            for reason, count in decision.refused.items():
                counts[reason.value] += count
        return counts

    def add_metrics(self, metrics) -> None:
        """Register the metrics."""
        metrics.labelled_counter(
            "colts_gateway_scarcity_refusals",
            "Prompts refused as capacity is scarce, by reason",
            "reason",
            self.refused,
        )
        for name, text, value in (
            ("scarce", "Whether capacity is scarce", lambda s: s.scarce),
            ("scarcity_changes", "Changes of it", lambda s: s.changes),
        ):
            metrics.labelled_gauge(
                f"colts_gateway_{name}",
                f"{text}, by service",
                "service",
                lambda value=value: {
                    service: int(value(decision.scarcity))
                    for service, decision in self.services.items()
                },
            )

    def dump(self) -> dict:
        """Return the state for operators."""
        now = clocks.boot_time()
        return {
            "active": self.is_active(),
            "priorities": self.priorities,
            "remembered_refusals": len(self.ledger.known),
            "services": {
                service: {
                    "scarce": decision.scarcity.scarce,
                    "missed_share": decision.recent.missed_share(),
                    "queued_share": decision.recent.queued_share(),
                    "used_s": {
                        self.workspace_name(tag): round(used_s, 2)
                        for tag, used_s in decision.recent.all_used_s(
                            now
                        ).items()
                    },
                    "level_s": min(1e9, decision.level_s),
                    "refused": self.refused(),
                }
                for service, decision in self.services.items()
            },
        }

    def workspace_name(self, tag: int) -> str:
        """Return the workspace with a tag, or the tag if none has it."""
        table = self.gateway.view.table
        for holder in table.config.holders if table is not None else ():
            if usage.workspace_tag(holder.workspace) == tag:
                return holder.workspace
        return str(tag)
