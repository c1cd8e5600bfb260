"""An engine that reads and writes in passes, in virtual time.

It follows what operators state of such engines: a pass with writers takes
`stride` steps and ends with an event for each of them; each step reads at
most `chunk_tokens`, parts for other engines first. Memory is not followed.
"""

import attrs

from _coltsfootroad.core import routes


@attrs.define(eq=False)
class Reading:
    """A prompt, or one part of it, that an engine has to read.

    Attributes:
        left: Tokens that are left.
        pair_s: Seconds for the pairs of one token, on the average.
        job: The request that it belongs to.
        is_part: Whether it is read for another engine.
    """

    left: float
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
    unread: int = 1
    written: int = 0
    event_times: list[float] = attrs.Factory(list)
    done: bool = False


@attrs.define(eq=False)
class BatchEngine:
    """One engine; `pace` above 1 makes it so many times slower."""

    spec: routes.EngineSpec
    pace: float = 1.0
    parts: list[Reading] = attrs.Factory(list)
    own: list[Reading] = attrs.Factory(list)
    active: list[Job] = attrs.Factory(list)
    queue: list[tuple[Job, Reading]] = attrs.Factory(list)
    busy_s: float = 0.0

    def submit(self, job: Job, parts: int) -> None:
        """Take a request of which it reads one of so many parts."""
        reading = reading_of(self.spec, job, parts)
        self.queue.append((job, reading))
        self.queue.sort(key=lambda entry: entry[0].rank)

    def submit_part(self, job: Job, parts: int) -> None:
        """Take a part to read for another engine."""
        reading = reading_of(self.spec, job, parts)
        reading.is_part = True
        self.parts.append(reading)

    @property
    def is_idle(self) -> bool:
        """Return whether there is nothing to do."""
        return not (self.parts or self.own or self.active or self.queue)

    def admit(self) -> None:
        """Give free slots to those that wait."""
        while self.queue and len(self.active) < self.spec.slots:
            job, reading = self.queue.pop(0)
            self.active.append(job)
            # A prompt that is split is read ahead of whole ones everywhere.
            split = job.unread > 1
            (self.parts if split else self.own).append(reading)

    def run_pass(self, now: float) -> float:
        """Run one pass; return when it ends."""
        self.admit()
        writers = [job for job in self.active if not job.unread]
        context = sum(job.prompt_tokens + job.written for job in writers)
        step_s = self.spec.step_s + len(writers) * self.spec.per_sequence_s
        step_s += context * self.spec.context_s_per_token
        took_s = 0.0
        for _ in range(self.spec.stride if writers else 1):
            took_s += step_s + self.read_step()
        took_s *= self.pace
        self.busy_s += took_s
        for job in writers:
            self.write(job, now + took_s)
        return now + took_s

    def read_step(self) -> float:
        """Read as much as one step may; return the seconds it takes."""
        left = self.spec.chunk_tokens
        took_s = 0.0
        while left > 0 and (self.parts or self.own):
            waiting = self.parts or self.own
            reading = waiting[0]
            tokens = min(left, reading.left)
            took_s += tokens * (
                1 / self.spec.read_tokens_per_s + reading.pair_s
            )
            reading.left -= tokens
            left -= tokens
            if reading.left <= 0:
                waiting.pop(0)
                reading.job.unread -= 1
        return took_s

    def write(self, job: Job, at: float) -> None:
        """Write one event of an answer."""
        job.written += self.spec.stride
        job.event_times.append(at)
        if job.written >= job.output_tokens:
            job.done = True
            self.active.remove(job)


def reading_of(spec: routes.EngineSpec, job: Job, parts: int) -> Reading:
    """Return one part of a prompt, with its share of the pairs."""
    pairs_a_token = job.prompt_tokens / 2
    return Reading(
        left=job.prompt_tokens / parts,
        pair_s=pairs_a_token * spec.pair_s,
        job=job,
    )
