"""A stand-in engine in virtual time: batches, caches, honours priorities.

It reads prompts one chunk at a time, most urgent first, so that a long
prompt holds up a short one by at most a chunk; generates for all running
requests at once; keeps memory until a request ends or is cancelled; and
caches prompt blocks, oldest dropped first.
"""

import collections
import heapq

import attrs

from _coltsfootroad.core import endpoints
from _coltsfootroad.core import lengths
from _coltsfootroad.core import prefixes
from _coltsfootroad.core import request as request_lib

PIECES = 4
MAX_BLOCKS = 2_048


@attrs.frozen(kw_only=True)
class EngineSpeed:
    """Speed and size of a stand-in engine."""

    prefill_rate: float = 20_000.0
    token_s: float = 0.03
    chunk_tokens: int = 8_192
    kv_tokens: int = 400_000
    max_running: int = 256


@attrs.define(eq=False)
class Job:
    """One part of an attempt at an engine."""

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
    left: float = 0.0
    admitted: bool = False
    read: bool = False
    pieces: list[request_lib.Chunk] = attrs.Factory(list)


@attrs.frozen(kw_only=True)
class Output:
    """A chunk that an engine has generated for a job."""

    job: Job
    chunk: request_lib.Chunk


@attrs.define
class GroupBook:
    """Which parts of groups have been read, over all engines."""

    waiting: dict[endpoints.WorkKey, dict[int, object]] = attrs.Factory(dict)

    def part_read(self, engine, job: Job, now: float) -> None:
        """Start generating at the leader once all parts are read."""
        parts = self.waiting.setdefault(job.key, {})
        parts[job.part] = (engine, job)
        if len(parts) < job.parts:
            return
        del self.waiting[job.key]
        leader_engine, leader = parts[0]
        leader_engine.start_decode(leader, now)

    def forget(self, key: endpoints.WorkKey) -> None:
        """Drop a group that was cancelled."""
        self.waiting.pop(key, None)


@attrs.define(eq=False)
class EngineModel:
    """The stand-in itself; `advance` brings it up to a time."""

    name: str
    speed: EngineSpeed
    book: GroupBook = attrs.Factory(GroupBook)
    jobs: dict[endpoints.WorkKey, Job] = attrs.Factory(dict)
    queue: list[tuple[int, int, Job]] = attrs.Factory(list)
    current: Job | None = None
    current_tokens: float = 0.0
    current_end: float = 0.0
    timers: list[tuple[float, int, Job]] = attrs.Factory(list)
    number: int = 0
    kv_used: int = 0
    slow_factor: float = 1.0
    blocks: collections.OrderedDict = attrs.Factory(collections.OrderedDict)
    cache_seq: int = 0
    cache_events: list[prefixes.CacheEvent] = attrs.Factory(list)
    incarnation: int = 1
    marks: dict[str, int] = attrs.Factory(dict)
    read_tokens: float = 0.0

    def submit(self, job: Job, now: float) -> list[Output]:
        """Take a job; a repeated one changes nothing."""
        outputs = self.advance(now)
        self.marks[job.owner] = max(self.marks.get(job.owner, 0), job.mark)
        if job.key in self.jobs:
            return outputs
        self.number += 1
        job.number = self.number
        job.left = job.prompt_tokens * (1 - self.cached_share(job))
        self.jobs[job.key] = job
        heapq.heappush(self.queue, (job.priority, job.number, job))
        self.start_chunk(now)
        return outputs

    def cached_share(self, job: Job) -> float:
        """Return the share of a prompt that is in the cache."""
        if not job.prefix_hashes:
            return 0.0
        matched = 0
        for block in job.prefix_hashes:
            if block not in self.blocks:
                break
            matched += 1
        return matched / len(job.prefix_hashes)

    def cancel(self, key: endpoints.WorkKey, now: float) -> list[Output]:
        """Drop a job and free its memory."""
        outputs = self.advance(now)
        job = self.jobs.pop(key, None)
        if job is not None:
            self.free(job)
            self.book.forget(key)
            if self.current is job:
                self.current = None
            self.start_chunk(now)
        return outputs

    def reprioritise(
        self, key: endpoints.WorkKey, priority: int, now: float
    ) -> None:
        """Change the priority of a job that waits."""
        job = self.jobs.get(key)
        if job is None or job.read:
            return
        job.priority = priority
        self.number += 1
        job.number = self.number
        heapq.heappush(self.queue, (priority, job.number, job))

    def free(self, job: Job) -> None:
        """Give back the memory of a job."""
        if job.admitted:
            self.kv_used -= job.kv_tokens
            job.admitted = False

    def next_event(self) -> float | None:
        """Return when something happens next."""
        times = [self.timers[0][0]] if self.timers else []
        if self.current is not None:
            times.append(self.current_end)
        return min(times, default=None)

    def advance(self, now: float) -> list[Output]:
        """Run up to `now` and return what was generated."""
        outputs: list[Output] = []
        while True:
            at = self.next_event()
            if at is None or at > now:
                return outputs
            if self.current is not None and self.current_end == at:
                self.end_chunk(at)
            else:
                _, _, job = heapq.heappop(self.timers)
                outputs += self.generate(job, at)

    def start_chunk(self, now: float) -> None:
        """Begin to read the most urgent prompt that fits into memory."""
        if self.current is not None:
            return
        job = self.next_job()
        if job is None:
            return
        tokens = min(job.left, float(self.speed.chunk_tokens))
        self.current = job
        self.current_tokens = tokens
        rate = self.speed.prefill_rate / self.slow_factor
        self.current_end = now + tokens / rate

    def next_job(self) -> Job | None:
        """Return the most urgent job that has or can get its memory."""
        passed = []
        found = None
        while self.queue:
            item = heapq.heappop(self.queue)
            job = item[2]
            if self.jobs.get(job.key) is not job or job.read:
                continue
            if item[1] != job.number:
                continue
            if self.admit(job):
                found = job
                passed.append(item)
                break
            passed.append(item)
        for item in passed:
            heapq.heappush(self.queue, item)
        return found

    def admit(self, job: Job) -> bool:
        """Give a job its memory if there is room."""
        if job.admitted:
            return True
        if self.kv_used + job.kv_tokens > self.speed.kv_tokens:
            return False
        self.kv_used += job.kv_tokens
        job.admitted = True
        return True

    def end_chunk(self, now: float) -> None:
        """End the chunk being read; a read prompt begins to generate."""
        job = self.current
        self.current = None
        self.read_tokens += self.current_tokens
        job.left -= self.current_tokens
        if job.left <= 0:
            job.read = True
            self.remember_blocks(job)
            if job.parts > 1:
                self.book.part_read(self, job, now)
            else:
                self.start_decode(job, now)
        self.start_chunk(now)

    def start_decode(self, job: Job, now: float) -> None:
        """Plan the pieces of the answer, the first token at once."""
        job.pieces = split_answer(job.output_tokens, job.resume_offset)
        self.number += 1
        heapq.heappush(self.timers, (now, self.number, job))

    def generate(self, job: Job, now: float) -> list[Output]:
        """Emit the next piece of a job's answer."""
        if self.jobs.get(job.key) is not job or not job.pieces:
            return []
        chunk = job.pieces.pop(0)
        if job.pieces:
            seconds = job.pieces[0].tokens * self.speed.token_s
            self.number += 1
            heapq.heappush(
                self.timers,
                (now + seconds * self.slow_factor, self.number, job),
            )
        else:
            del self.jobs[job.key]
            self.free(job)
            self.start_chunk(now)
        return [Output(job=job, chunk=chunk)]

    # --- cache and reports -----------------------------------------------

    def remember_blocks(self, job: Job) -> None:
        """Put the blocks of a read prompt into the cache."""
        stored = [b for b in job.prefix_hashes if b not in self.blocks]
        for block in job.prefix_hashes:
            self.blocks[block] = True
            self.blocks.move_to_end(block)
        evicted = []
        while len(self.blocks) > MAX_BLOCKS:
            evicted.append(self.blocks.popitem(last=False)[0])
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

    def waiting_tokens(self, now: float) -> tuple[int, ...]:
        """Return the prompt tokens that wait, per priority."""
        totals = [0.0] * lengths.BAND_COUNT
        for job in self.jobs.values():
            if not job.read:
                band = min(job.priority, lengths.BAND_COUNT - 1)
                totals[band] += job.left
        if self.current is not None:
            band = min(self.current.priority, lengths.BAND_COUNT - 1)
            rate = self.speed.prefill_rate / self.slow_factor
            undone = (self.current_end - now) * rate
            totals[band] -= self.current_tokens - max(0.0, undone)
        return tuple(max(0, round(t)) for t in totals)

    def report(self, seq: int, now: float) -> endpoints.LoadReport:
        """Return a load report of this moment."""
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
            prefill_tokens=self.waiting_tokens(now),
            kv_used=self.kv_used,
            running=len(self.jobs),
            marks=dict(self.marks),
            held=held,
        )


def split_answer(tokens: int, offset: int) -> list[request_lib.Chunk]:
    """Return the pieces of an answer: one token, then a few larger ones.

    The text of a token names its place, so that a mixed or gapped answer
    shows.
    """
    if offset >= tokens:
        return [piece(offset, 0, True)]
    found = [piece(offset, 1, offset + 1 == tokens)]
    place = offset + 1
    while place < tokens:
        size = max(1, -(-(tokens - offset - 1) // PIECES))
        size = min(size, tokens - place)
        found.append(piece(place, size, place + size == tokens))
        place += size
    return found


def piece(offset: int, tokens: int, final: bool) -> request_lib.Chunk:
    """Return one piece of an answer."""
    text = "".join(f"t{n} " for n in range(offset, offset + tokens))
    return request_lib.Chunk(
        offset=offset, tokens=tokens, data=text.encode(), final=final
    )


def whole_text(tokens: int) -> bytes:
    """Return the text of a whole answer."""
    return "".join(f"t{n} " for n in range(tokens)).encode()
