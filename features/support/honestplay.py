"""Plays a load on one gateway and records what callers and endpoints saw."""

import asyncio
import random
import time

import attrs

from _coltsfootroad.core import registry
from features.soak import audit
from features.support import gatewaybed

MS_PER_S = 1000
ENDPOINTS = 3
CALLERS = 6
REQUESTS = 12
KINDS = ("safe", "unsafe", "stream")
# Most requests have time for a response beyond their target; some have none.
DEADLINES_S = (0.008, 1.0, 1.0, 1.2)
PLAIN_ACTS = ("answer", "answer", "late", "fail", "reject", "reset", "hang")
STREAM_ACTS = ("stream", "stream", "fail", "reject", "reset", "stall")
# Longer than the routes' target, shorter than the deadlines.
LATE_S = 0.35
# Delays of threads and of the loop they share on a loaded machine.
TOLERANCE_S = 0.3
# Sends of one request that are scripted; later ones repeat the last.
MAX_SENDS = 4
SAME_ACT_PROBABILITY = 0.3


@attrs.frozen
class Script:
    """What a caller asks for and how endpoints handle each of its sends."""

    kind: str
    deadline_s: float
    acts: tuple[str, ...]


def draw_script(seed: int, request: str) -> Script:
    """Return the script of a request, the same in each play of a seed."""
    rng = random.Random(f"{seed} {request}")
    kind = rng.choice(KINDS)
    possible = STREAM_ACTS if kind == "stream" else PLAIN_ACTS
    acts = rng.choices(possible, k=MAX_SENDS)
    if rng.random() < SAME_ACT_PROBABILITY:
        acts = acts[:1]
    return Script(kind, rng.choice(DEADLINES_S), tuple(acts))


class ObservedEndpoint(gatewaybed.ScriptedEndpoint):
    """Handles each send by its request's script and records what it did."""

    def __init__(
        self,
        name: str,
        observed: audit.Observations,
        scripts: dict[str, Script],
    ):
        super().__init__(name, [])
        self.observed = observed
        self.scripts = scripts

    async def serve_one(self, reader, writer) -> bool:
        """Serve one request and record its offer, its run and its response."""
        seen = await self.read_request(reader)
        request = seen.headers["x-request-id"]
        left_s = int(seen.headers["x-deadline-ms"]) / MS_PER_S
        self.observed.offers.append(audit.Offer(request=request, left_s=left_s))
        sends = sum(o.request == request for o in self.observed.offers)
        acts = self.scripts[request].acts
        act = acts[min(sends, len(acts)) - 1]
        if act != "reject":
            self.observed.runs.append(
                audit.Run(
                    request=request,
                    endpoint=self.name,
                    at=time.monotonic(),
                    undisturbed=act in ("answer", "late", "stream"),
                )
            )
        handle = getattr(self, f"do_{act}")
        kept_open = await handle(seen.headers, reader, writer)
        if act in ("answer", "late", "stream"):
            await writer.drain()
            self.observed.responses.append(
                audit.Response(request=request, at=time.monotonic())
            )
        return kept_open

    async def do_late(self, headers, reader, writer) -> bool:
        """Send a complete response after the target."""
        await asyncio.sleep(LATE_S)
        return await self.do_answer(headers, reader, writer)


@attrs.define(eq=False)
class HonestPlay:
    """A load whose endpoints fail by a script and leave at its end."""

    seed: int
    scripts: dict[str, Script] = attrs.Factory(dict)
    observed: audit.Observations = attrs.Factory(audit.Observations)
    bed: gatewaybed.Bed = attrs.Factory(gatewaybed.Bed)

    async def run(self) -> None:
        """Play the load; all requests end before this returns."""
        started_at = time.monotonic()
        try:
            for number in range(ENDPOINTS):
                name = f"e{number + 1}"
                await self.bed.take(
                    ObservedEndpoint(name, self.observed, self.scripts)
                )
            await asyncio.gather(*map(self.call, range(CALLERS)))
            self.observed.free.append((started_at, time.monotonic()))
            for endpoint in self.bed.endpoints:
                self.bed.gateway.learn_endpoint(
                    registry.sign_off_announcement(endpoint.name, 1)
                )
            await asyncio.gather(
                *(
                    self.ask(f"none-{kind}", Script(kind, 1.0, ()))
                    for kind in KINDS
                )
            )
        finally:
            await self.bed.close()

    async def call(self, caller: int) -> None:
        """Send one caller's requests in sequence."""
        for number in range(REQUESTS):
            request = f"r{caller}-{number}"
            await self.ask(request, draw_script(self.seed, request))

    async def ask(self, request: str, script: Script) -> None:
        """Send one request and record its outcome."""
        self.scripts[request] = script
        self.bed.prove()
        started_at = time.monotonic()
        answer = await self.bed.ask(
            f"/{script.kind}/x",
            deadline_ms=int(script.deadline_s * MS_PER_S),
            extra={"X-Request-Id": request},
        )
        self.observed.outcomes.append(
            audit.Outcome(
                request=request,
                kind=script.kind,
                key=gatewaybed.KEY,
                gateway=0,
                started_at=started_at,
                ended_at=time.monotonic(),
                deadline_s=script.deadline_s,
                status=answer.status,
                complete=answer.whole,
                body=answer.body,
            )
        )


def play(seed: int) -> audit.Observations:
    """Play the load of a seed and return the observations."""

    async def run() -> audit.Observations:
        found = HonestPlay(seed)
        await found.run()
        return found.observed

    return asyncio.run(run())
