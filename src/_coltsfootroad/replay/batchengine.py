"""Model of an engine with continuous batching, in virtual time.

It follows the operators' description of their engines. A pass with decoding
requests takes `stride` steps and ends with one event for each of them. Each
step prefills at most `chunk_tokens`, parts of split prompts first. Memory is
not modelled.
"""

import attrs

from _coltsfootroad.core import routes


@attrs.define(eq=False)
class Prefill:
    """A prompt, or one part of it, that an engine prefills.

    Attributes:
        remaining_tokens: Tokens that are not prefilled yet.
        pair_s: Average seconds for the attention pairs of one token.
        job: The request of the prompt.
        is_part: Whether another engine decodes the request.
    """

    remaining_tokens: float
    pair_s: float
    job: "Job"
    is_part: bool = False


@attrs.define(eq=False)
class Job:
    """A request at the engine that decodes its answer.

    Attributes:
        prompt_tokens: Tokens of the complete prompt.
        output_tokens: Tokens of the complete answer.
        rank: Priority in the queue for a batch slot, 0 first.
        pending_parts: Parts not prefilled yet, here and at other engines.
        generated_tokens: Tokens generated so far.
        event_times: Times of its events.
        done: Whether its last event has been emitted.
    """

    prompt_tokens: int
    output_tokens: int
    rank: int = 5
    pending_parts: int = 1
    generated_tokens: int = 0
    event_times: list[float] = attrs.Factory(list)
    done: bool = False


@attrs.define(eq=False)
class BatchEngine:
    """One engine; `slowdown` multiplies the duration of its passes."""

    spec: routes.EngineSpec
    slowdown: float = 1.0
    split_prefills: list[Prefill] = attrs.Factory(list)
    unsplit_prefills: list[Prefill] = attrs.Factory(list)
    active: list[Job] = attrs.Factory(list)
    queue: list[tuple[Job, Prefill]] = attrs.Factory(list)
    busy_s: float = 0.0

    def submit(self, job: Job, parts: int) -> None:
        """Queue a request; this engine prefills one of `parts` parts."""
        prefill = make_prefill(self.spec, job, parts)
        self.queue.append((job, prefill))
        self.queue.sort(key=lambda entry: entry[0].rank)

    def submit_part(self, job: Job, parts: int) -> None:
        """Queue one of `parts` parts to prefill for another engine."""
        prefill = make_prefill(self.spec, job, parts)
        prefill.is_part = True
        self.split_prefills.append(prefill)

    @property
    def is_idle(self) -> bool:
        """Return whether the engine has no work."""
        return not (
            self.split_prefills
            or self.unsplit_prefills
            or self.active
            or self.queue
        )

    def admit(self) -> None:
        """Assign free batch slots to queued requests."""
        while self.queue and len(self.active) < self.spec.slots:
            job, prefill = self.queue.pop(0)
            self.active.append(job)
            # Every engine prefills parts of split prompts before unsplit ones.
            split = job.pending_parts > 1
            (self.split_prefills if split else self.unsplit_prefills).append(
                prefill
            )

    def run_pass(self, now: float) -> float:
        """Run one pass; return the time of its end."""
        self.admit()
        decoding = [job for job in self.active if not job.pending_parts]
        context = sum(
            job.prompt_tokens + job.generated_tokens for job in decoding
        )
        step_s = self.spec.step_s + len(decoding) * self.spec.per_sequence_s
        step_s += context * self.spec.context_s_per_token
        took_s = 0.0
        for _ in range(self.spec.stride if decoding else 1):
            took_s += step_s + self.run_prefill_step()
        took_s = self.duration_s(now, took_s)
        self.busy_s += took_s
        for job in decoding:
            self.emit_event(job, now + took_s)
        return now + took_s

    def duration_s(self, now: float, sound_s: float) -> float:
        """Return the seconds of a pass that takes a sound engine `sound_s`."""
        del now
        return sound_s * self.slowdown

    def run_prefill_step(self) -> float:
        """Prefill up to `chunk_tokens`; return the seconds that it takes."""
        budget = self.spec.chunk_tokens
        took_s = 0.0
        while budget > 0 and (self.split_prefills or self.unsplit_prefills):
            prefills = self.split_prefills or self.unsplit_prefills
            prefill = prefills[0]
            tokens = min(budget, prefill.remaining_tokens)
            took_s += tokens * (
                1 / self.spec.read_tokens_per_s + prefill.pair_s
            )
            prefill.remaining_tokens -= tokens
            budget -= tokens
            if prefill.remaining_tokens <= 0:
                prefills.pop(0)
                prefill.job.pending_parts -= 1
        return took_s

    def emit_event(self, job: Job, at: float) -> None:
        """Emit one event of an answer."""
        job.generated_tokens += self.spec.stride
        job.event_times.append(at)
        if job.generated_tokens >= job.output_tokens:
            job.done = True
            self.active.remove(job)


def make_prefill(spec: routes.EngineSpec, job: Job, parts: int) -> Prefill:
    """Return one part of a prompt with its share of the attention pairs."""
    pairs_per_token = job.prompt_tokens / 2
    return Prefill(
        remaining_tokens=job.prompt_tokens / parts,
        pair_s=pairs_per_token * spec.pair_s,
        job=job,
    )
