"""A fake engine in virtual time, with batching, prefix cache and priorities.

It prefills prompts one chunk at a time, most urgent first, so that a long
prompt delays a short one by at most one chunk. It decodes all running
requests concurrently, holds the memory of a request until the request ends
or is cancelled, and caches prompt blocks with LRU eviction.
"""

import collections
import heapq

import attrs

from _coltsfootroad.core import endpoints
from _coltsfootroad.core import lengths
from _coltsfootroad.core import prefixes
from _coltsfootroad.core import request as request_lib

# Chunks of an answer after the first token.
LATER_CHUNKS = 4
MAX_CACHED_BLOCKS = 2_048


@attrs.frozen(kw_only=True)
class EngineSpeed:
    """Speed and capacity of a fake engine."""

    prefill_rate: float = 20_000.0
    token_s: float = 0.03
    chunk_tokens: int = 8_192
    kv_tokens: int = 400_000
    max_running: int = 256


@attrs.define(eq=False)
class Job:
    """One part of an attempt, as an engine runs it."""

    key: endpoints.WorkKey
    owner: str
    mark: int
    priority: int
    prompt_tokens: int
    output_tokens: int
    kv_tokens: int
    deadline_at: float
    part: int = 0
    parts: int = 1
    resume_offset: int = 0
    prefix_hashes: tuple[str, ...] = ()
    number: int = 0
    remaining_tokens: float = 0.0
    admitted: bool = False
    is_prefilled: bool = False
    pending_chunks: list[request_lib.Chunk] = attrs.Factory(list)


@attrs.frozen(kw_only=True)
class Output:
    """A chunk that an engine has generated for a job."""

    job: Job
    chunk: request_lib.Chunk


@attrs.define
class GroupPrefills:
    """Prefilled parts of the prompts that groups of engines share."""

    prefilled_parts: dict[endpoints.WorkKey, dict[int, object]] = attrs.Factory(
        dict
    )

    def add_prefilled_part(self, engine, job: Job, now: float) -> None:
        """Start decoding at the group's leader once all parts are prefilled."""
        parts = self.prefilled_parts.setdefault(job.key, {})
        parts[job.part] = (engine, job)
        if len(parts) < job.parts:
            return
        del self.prefilled_parts[job.key]
        leader_engine, leader = parts[0]
        leader_engine.start_decode(leader, now)

    def drop_group(self, key: endpoints.WorkKey) -> None:
        """Drop a group whose request was cancelled."""
        self.prefilled_parts.pop(key, None)


@attrs.define(eq=False)
class EngineModel:
    """State of a fake engine; `advance` runs it up to a time."""

    name: str
    speed: EngineSpeed
    group_prefills: GroupPrefills = attrs.Factory(GroupPrefills)
    jobs: dict[endpoints.WorkKey, Job] = attrs.Factory(dict)
    queue: list[tuple[int, int, Job]] = attrs.Factory(list)
    prefilling_job: Job | None = None
    prefill_chunk_tokens: float = 0.0
    prefill_chunk_end: float = 0.0
    timers: list[tuple[float, int, Job]] = attrs.Factory(list)
    number: int = 0
    kv_used: int = 0
    slowdown: float = 1.0
    cached_blocks: collections.OrderedDict = attrs.Factory(
        collections.OrderedDict
    )
    cache_seq: int = 0
    cache_events: list[prefixes.CacheEvent] = attrs.Factory(list)
    incarnation: int = 1
    marks: dict[str, int] = attrs.Factory(dict)
    prefilled_tokens: float = 0.0

    def submit(self, job: Job, now: float) -> list[Output]:
        """Queue a job; a job that is already known is ignored."""
        outputs = self.advance(now)
        self.marks[job.owner] = max(self.marks.get(job.owner, 0), job.mark)
        if job.key in self.jobs:
            return outputs
        self.number += 1
        job.number = self.number
        job.remaining_tokens = job.prompt_tokens * (1 - self.cached_share(job))
        self.jobs[job.key] = job
        heapq.heappush(self.queue, (job.priority, job.number, job))
        self.start_prefill_chunk(now)
        return outputs

    def cached_share(self, job: Job) -> float:
        """Return the cached share of a prompt."""
        if not job.prefix_hashes:
            return 0.0
        matched = 0
        for block in job.prefix_hashes:
            if block not in self.cached_blocks:
                break
            matched += 1
        return matched / len(job.prefix_hashes)

    def cancel(self, key: endpoints.WorkKey, now: float) -> list[Output]:
        """Cancel a job and free its memory."""
        outputs = self.advance(now)
        job = self.jobs.pop(key, None)
        if job is not None:
            self.free_memory(job)
            self.group_prefills.drop_group(key)
            if self.prefilling_job is job:
                self.prefilling_job = None
            self.start_prefill_chunk(now)
        return outputs

    def reprioritise(
        self, key: endpoints.WorkKey, priority: int, now: float
    ) -> None:
        """Change the priority of a job that waits for prefill."""
        job = self.jobs.get(key)
        if job is None or job.is_prefilled:
            return
        job.priority = priority
        self.number += 1
        job.number = self.number
        heapq.heappush(self.queue, (priority, job.number, job))

    def free_memory(self, job: Job) -> None:
        """Free the memory of a job."""
        if job.admitted:
            self.kv_used -= job.kv_tokens
            job.admitted = False

    def next_event(self) -> float | None:
        """Return the time of the next event, None if there is none."""
        times = [self.timers[0][0]] if self.timers else []
        if self.prefilling_job is not None:
            times.append(self.prefill_chunk_end)
        return min(times, default=None)

    def advance(self, now: float) -> list[Output]:
        """Run up to `now` and return the generated chunks."""
        outputs: list[Output] = []
        while True:
            at = self.next_event()
            if at is None or at > now:
                return outputs
            if self.prefilling_job is not None and self.prefill_chunk_end == at:
                self.end_prefill_chunk(at)
            else:
                _, _, job = heapq.heappop(self.timers)
                outputs += self.emit_next_chunk(job, at)

    def start_prefill_chunk(self, now: float) -> None:
        """Start prefill of the most urgent prompt that fits into memory."""
        if self.prefilling_job is not None:
            return
        job = self.next_job()
        if job is None:
            return
        tokens = min(job.remaining_tokens, float(self.speed.chunk_tokens))
        self.prefilling_job = job
        self.prefill_chunk_tokens = tokens
        rate = self.speed.prefill_rate / self.slowdown
        self.prefill_chunk_end = now + tokens / rate

    def next_job(self) -> Job | None:
        """Return the most urgent job that has memory or can allocate it."""
        skipped = []
        found = None
        while self.queue:
            item = heapq.heappop(self.queue)
            job = item[2]
            if self.jobs.get(job.key) is not job or job.is_prefilled:
                continue
            if item[1] != job.number:
                continue
            if self.admit(job):
                found = job
                skipped.append(item)
                break
            skipped.append(item)
        for item in skipped:
            heapq.heappush(self.queue, item)
        return found

    def admit(self, job: Job) -> bool:
        """Allocate the memory of a job if enough is free."""
        if job.admitted:
            return True
        if self.kv_used + job.kv_tokens > self.speed.kv_tokens:
            return False
        self.kv_used += job.kv_tokens
        job.admitted = True
        return True

    def end_prefill_chunk(self, now: float) -> None:
        """End a prefill chunk; start decode once the prompt is prefilled."""
        job = self.prefilling_job
        self.prefilling_job = None
        self.prefilled_tokens += self.prefill_chunk_tokens
        job.remaining_tokens -= self.prefill_chunk_tokens
        if job.remaining_tokens <= 0:
            job.is_prefilled = True
            self.cache_blocks(job)
            if job.parts > 1:
                self.group_prefills.add_prefilled_part(self, job, now)
            else:
                self.start_decode(job, now)
        self.start_prefill_chunk(now)

    def start_decode(self, job: Job, now: float) -> None:
        """Schedule the chunks of the answer, the first token immediately."""
        job.pending_chunks = split_into_chunks(
            job.output_tokens, job.resume_offset
        )
        self.number += 1
        heapq.heappush(self.timers, (now, self.number, job))

    def emit_next_chunk(self, job: Job, now: float) -> list[Output]:
        """Emit the next chunk of a job's answer."""
        if self.jobs.get(job.key) is not job or not job.pending_chunks:
            return []
        chunk = job.pending_chunks.pop(0)
        if job.pending_chunks:
            seconds = job.pending_chunks[0].tokens * self.speed.token_s
            self.number += 1
            heapq.heappush(
                self.timers,
                (now + seconds * self.slowdown, self.number, job),
            )
        else:
            del self.jobs[job.key]
            self.free_memory(job)
            self.start_prefill_chunk(now)
        return [Output(job=job, chunk=chunk)]

    # --- cache and reports -----------------------------------------------

    def cache_blocks(self, job: Job) -> None:
        """Add the blocks of a prefilled prompt to the cache."""
        stored = [b for b in job.prefix_hashes if b not in self.cached_blocks]
        for block in job.prefix_hashes:
            self.cached_blocks[block] = True
            self.cached_blocks.move_to_end(block)
        evicted = []
        while len(self.cached_blocks) > MAX_CACHED_BLOCKS:
            evicted.append(self.cached_blocks.popitem(last=False)[0])
        if not stored and not evicted:
            return
        self.cache_seq += 1
        self.cache_events.append(
            prefixes.CacheEvent(
                endpoint=self.name,
                incarnation=self.incarnation,
                seq=self.cache_seq,
                stored=tuple(stored),
                evicted=tuple(evicted),
            )
        )

    def pending_prefill_tokens(self, now: float) -> tuple[int, ...]:
        """Return the prompt tokens that wait for prefill, per priority."""
        totals = [0.0] * lengths.BAND_COUNT
        for job in self.jobs.values():
            if not job.is_prefilled:
                band = min(job.priority, lengths.BAND_COUNT - 1)
                totals[band] += job.remaining_tokens
        if self.prefilling_job is not None:
            band = min(self.prefilling_job.priority, lengths.BAND_COUNT - 1)
            rate = self.speed.prefill_rate / self.slowdown
            undone = (self.prefill_chunk_end - now) * rate
            totals[band] -= self.prefill_chunk_tokens - max(0.0, undone)
        return tuple(max(0, round(t)) for t in totals)

    def report(self, seq: int, now: float) -> endpoints.LoadReport:
        """Return the current load report."""
        held = tuple(
            endpoints.HeldWork(
                request_id=job.key[0],
                attempt=job.key[1],
                owner=job.owner,
                kv_tokens=job.kv_tokens,
                expires_in_s=job.deadline_at - now,
            )
            for job in self.jobs.values()
        )
        return endpoints.LoadReport(
            endpoint=self.name,
            incarnation=self.incarnation,
            seq=seq,
            measured_at=now,
            prefill_tokens=self.pending_prefill_tokens(now),
            kv_used=self.kv_used,
            running=len(self.jobs),
            marks=dict(self.marks),
            held=held,
        )


def split_into_chunks(tokens: int, offset: int) -> list[request_lib.Chunk]:
    """Return the chunks of an answer: the first token, then larger chunks.

    The text of a token contains its position, so that a test detects tokens
    that are missing or out of order.
    """
    if offset >= tokens:
        return [make_chunk(offset, 0, True)]
    chunks = [make_chunk(offset, 1, offset + 1 == tokens)]
    position = offset + 1
    while position < tokens:
        size = max(1, -(-(tokens - offset - 1) // LATER_CHUNKS))
        size = min(size, tokens - position)
        chunks.append(make_chunk(position, size, position + size == tokens))
        position += size
    return chunks


def make_chunk(offset: int, tokens: int, final: bool) -> request_lib.Chunk:
    """Return one chunk of an answer."""
    text = "".join(f"t{n} " for n in range(offset, offset + tokens))
    return request_lib.Chunk(
        offset=offset, tokens=tokens, data=text.encode(), final=final
    )


def complete_text(tokens: int) -> bytes:
    """Return the text of a complete answer."""
    return "".join(f"t{n} " for n in range(tokens)).encode()
