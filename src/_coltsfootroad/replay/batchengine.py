"""An engine that reads and writes in passes, in virtual time.

It follows what operators state of such engines: a pass with writers takes
`stride` steps and ends with an event for each of them; each step reads at
most `chunk_tokens`, parts for other engines first. Memory is not followed.
"""

import attrs

from _coltsfootroad.core import routes


@attrs.define(eq=False)
class Prefill:
    """A prompt, or one part of it, that an engine has to read.

    Attributes:
        left: Tokens that are left.
        pair_s: Seconds for the pairs of one token, on the average.
        job: The request that it belongs to.
        is_part: Whether it is read for another engine.
    """

    remaining_tokens: float
    pair_s: float
    job: "Job"
    is_part: bool = False


@attrs.define(eq=False)
class Job:
    """A request at the engine that writes its answer.

    Attributes:
        prompt_tokens: Tokens of the whole prompt.
        output_tokens: Tokens that it will write.
        rank: Place in the queue for a slot, 0 first.
        unread: Parts that are not read yet, here and at other engines.
        written: Tokens written so far.
        event_times: When its events came.
        done: Whether its last event has come.
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
    """One engine; `pace` above 1 makes it so many times slower."""

    spec: routes.EngineSpec
    slowdown: float = 1.0
    split_prefills: list[Prefill] = attrs.Factory(list)
    unsplit_prefills: list[Prefill] = attrs.Factory(list)
    active: list[Job] = attrs.Factory(list)
    queue: list[tuple[Job, Prefill]] = attrs.Factory(list)
    busy_s: float = 0.0

    def submit(self, job: Job, parts: int) -> None:
        """Take a request of which it reads one of so many parts."""
        prefill = make_prefill(self.spec, job, parts)
        self.queue.append((job, prefill))
        self.queue.sort(key=lambda entry: entry[0].rank)

    def submit_part(self, job: Job, parts: int) -> None:
        """Take a part to read for another engine."""
        prefill = make_prefill(self.spec, job, parts)
        prefill.is_part = True
        self.split_prefills.append(prefill)

    @property
    def is_idle(self) -> bool:
        """Return whether there is nothing to do."""
        return not (
            self.split_prefills
            or self.unsplit_prefills
            or self.active
            or self.queue
        )

    def admit(self) -> None:
        """Give free slots to those that wait."""
        while self.queue and len(self.active) < self.spec.slots:
            job, prefill = self.queue.pop(0)
            self.active.append(job)
            # A prompt that is split is read ahead of whole ones everywhere.
            split = job.pending_parts > 1
            (self.split_prefills if split else self.unsplit_prefills).append(
                prefill
            )

    def run_pass(self, now: float) -> float:
        """Run one pass; return when it ends."""
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
        took_s *= self.slowdown
        self.busy_s += took_s
        for job in decoding:
            self.emit_event(job, now + took_s)
        return now + took_s

    def run_prefill_step(self) -> float:
        """Read as much as one step may; return the seconds it takes."""
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
        """Write one event of an answer."""
        job.generated_tokens += self.spec.stride
        job.event_times.append(at)
        if job.generated_tokens >= job.output_tokens:
            job.done = True
            self.active.remove(job)


def make_prefill(spec: routes.EngineSpec, job: Job, parts: int) -> Prefill:
    """Return one part of a prompt, with its share of the pairs."""
    pairs_per_token = job.prompt_tokens / 2
    return Prefill(
        remaining_tokens=job.prompt_tokens / parts,
        pair_s=pairs_per_token * spec.pair_s,
        job=job,
    )
