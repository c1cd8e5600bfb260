"""Fake endpoints over HTTP, for the demo, tests and benchmarks."""

import asyncio
import json

import attrs
from tornado import curl_httpclient
import tornado.httpclient
import tornado.iostream
import tornado.web

from _coltsfootroad.core import documents
from _coltsfootroad.core import hashing
from _coltsfootroad.core import registry
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.core import servicekind
from _coltsfootroad.fakes import engine as engine_lib
from _coltsfootroad.shell import clientmemory
from _coltsfootroad.shell import clientserver
from _coltsfootroad.shell import endpointclient
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import web

MAX_BODY_BYTES = 32 * 1024 * 1024
ANNOUNCE_INTERVAL_S = 1.0
# Entries that an endpoint posts to; the others learn from their heartbeats.
ANNOUNCED_ENTRIES = 2
POST_TIMEOUT_S = 2.0


@attrs.define(eq=False)
class FakeEndpoint:
    """A fake endpoint that announces itself, serves and reports its load.

    `runs` counts how often work started here, by request id or key.
    """

    name: str
    service: str
    address: str
    entries: list[str]
    kind: servicekind.ServiceKind = servicekind.ServiceKind.ENGINE
    speed: engine_lib.EngineSpeed = engine_lib.EngineSpeed()
    availability_zone: str = ""
    token: str = ""
    incarnation: int = 1
    state: registry.EndpointState = registry.EndpointState.SERVING
    seq: int = 0
    plain_s: float = 0.0
    runs: dict[str, int] = attrs.Factory(dict)
    orders: list[dict] = attrs.Factory(list)
    highest_fence: int = 0
    queues: dict = attrs.Factory(dict)
    imported: dict = attrs.Factory(dict)
    model: engine_lib.EngineModel = attrs.field(init=False)
    loop: asyncio.AbstractEventLoop = attrs.field(init=False)
    timer: asyncio.TimerHandle | None = None
    clients: clientmemory.ClientMemory = attrs.Factory(
        lambda: clientmemory.ClientMemory.of(
            settings_lib.ProcessSettings(), MAX_BODY_BYTES
        )
    )
    server: object = None
    task: asyncio.Task | None = None
    client: object = None

    def __attrs_post_init__(self):
        self.model = engine_lib.EngineModel(self.name, self.speed)
        self.model.incarnation = self.incarnation
        self.loop = asyncio.get_event_loop()

    async def start(self) -> None:
        """Open the listener and start announcements."""
        parts = {"endpoint": self}
        app = tornado.web.Application(
            [
                (endpointclient.GENERATE_PATH, GenerateHandler, parts),
                (endpointclient.CANCEL_PATH, CancelHandler, parts),
                (endpointclient.PRIORITY_PATH, PriorityHandler, parts),
                (endpointclient.ORDER_PATH, OrderHandler, parts),
                (endpointclient.EXPORT_PATH, ExportHandler, parts),
                (endpointclient.IMPORT_PATH, ImportHandler, parts),
                (r"/.*", PlainHandler, parts),
            ]
        )
        self.server = clientserver.listen(
            app, self.address, MAX_BODY_BYTES, self.clients
        )
        self.client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
        self.task = self.loop.create_task(self.announce_periodically())

    async def stop(self) -> None:
        """Stop at once, without a sign-off, like a killed process."""
        self.task.cancel()
        self.server.stop()
        await self.server.close_all_connections()

    async def leave(self) -> None:
        """Announce that this endpoint leaves."""
        self.state = registry.EndpointState.LEAVING
        await self.announce()

    async def announce_periodically(self) -> None:
        """Announce and report at a fixed interval until cancelled."""
        while True:
            await self.announce()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def announce(self) -> None:
        """Announce this endpoint; engines also report load and cache events."""
        self.seq += 1
        announcement = registry.Announcement(
            endpoint=self.name,
            incarnation=self.incarnation,
            seq=self.seq,
            service=self.service,
            address=self.address,
            kind=self.kind,
            availability_zone=self.availability_zone,
            state=self.state,
            kv_tokens=self.speed.kv_tokens,
            max_running=self.speed.max_running,
        )
        await self.post_to_entries("announce", announcement)
        if self.kind is servicekind.ServiceKind.ENGINE:
            await self.report()

    async def report(self) -> None:
        """Report load and cache events."""
        self.advance_model()
        self.seq += 1
        await self.post_to_entries(
            "load", self.model.report(self.seq, self.now())
        )
        events, self.model.cache_events = self.model.cache_events, []
        for event in events:
            await self.post_to_entries("cache", event)

    async def post_to_entries(self, path: str, message: object) -> None:
        """Post a message to a few entries; replace failed entries by others.

        Cache events are posted to all entries, because entries do not forward
        them.
        """
        document = documents.CONVERTER.unstructure(message)
        ranked = sorted(
            self.entries, key=lambda e: hashing.stable_hash(self.name, e)
        )
        remaining = len(ranked) if path == "cache" else ANNOUNCED_ENTRIES
        for entry in ranked:
            if not remaining:
                return
            request = tornado.httpclient.HTTPRequest(
                f"http://{entry}/v1/endpoints/{path}",
                method="POST",
                body=json.dumps(document),
                headers={"Authorization": f"Bearer {self.token}"},
                connect_timeout=POST_TIMEOUT_S,
                request_timeout=POST_TIMEOUT_S,
            )
            try:
                await self.client.fetch(request)
            except tornado.httpclient.HTTPError:
                continue
            remaining -= 1

    # --- engine ----------------------------------------------------------

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return self.loop.time()

    def submit(self, job: engine_lib.Job) -> asyncio.Queue:
        """Start a job; return the queue of its chunks."""
        queue: asyncio.Queue = asyncio.Queue()
        self.queues[job.key] = queue
        self.count_start(job.key[0])
        self.queue_outputs(self.model.submit(job, self.now()))
        self.schedule_model()
        return queue

    def count_start(self, name: str) -> None:
        """Count a start of work."""
        self.runs[name] = self.runs.get(name, 0) + 1

    def cancel(self, key) -> None:
        """Cancel a job and end its stream."""
        self.queue_outputs(self.model.cancel(key, self.now()))
        queue = self.queues.pop(key, None)
        if queue is not None:
            queue.put_nowait(None)
        self.schedule_model()

    def advance_model(self) -> None:
        """Advance the model to the current time."""
        self.timer = None
        self.queue_outputs(self.model.advance(self.now()))
        self.schedule_model()

    def schedule_model(self) -> None:
        """Set the timer to the model's next event."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        at = self.model.next_event()
        if at is not None:
            self.timer = self.loop.call_at(at, self.advance_model)

    def queue_outputs(self, outputs: list[engine_lib.Output]) -> None:
        """Add chunks to the queues of their streams."""
        for output in outputs:
            queue = self.queues.get(output.job.key)
            if queue is not None:
                queue.put_nowait(output.chunk)


class FakeHandler(web.Handler):
    """Base of the fake endpoint's handlers."""

    def initialize(self, endpoint):
        """Set the endpoint."""
        self.endpoint = endpoint

    def key(self, document: dict):
        """Return the key of a message's attempt."""
        return (document["request_id"], document["attempt"])


class GenerateHandler(FakeHandler):
    """Streams an answer."""

    async def post(self):
        """Run one part of an attempt."""
        document = json.loads(self.request.body)
        now = self.endpoint.now()
        job = engine_lib.Job(
            key=self.key(document),
            owner=document["owner"],
            mark=document["mark"],
            priority=document["priority"],
            prompt_tokens=document["prompt_tokens"],
            output_tokens=document["max_tokens"],
            kv_tokens=document["kv_tokens"],
            deadline_at=now + document["deadline_s"],
            resume_offset=document["resume_offset"],
            prefix_hashes=tuple(document["prefix_hashes"]),
        )
        queue = self.endpoint.submit(job)
        self.set_header("Content-Type", "text/event-stream")
        try:
            await self.flush()
            while True:
                chunk = await queue.get()
                if chunk is None:
                    return
                await self.write_chunk(chunk)
                if chunk.final:
                    return
        except tornado.iostream.StreamClosedError:
            return
        finally:
            self.endpoint.queues.pop(job.key, None)

    async def write_chunk(self, chunk: request_lib.Chunk) -> None:
        """Write one chunk as an event."""
        fields = {
            "offset": chunk.offset,
            "tokens": chunk.tokens,
            "text": chunk.data.decode(),
            "final": chunk.final,
        }
        self.write(b"data: " + json.dumps(fields).encode() + b"\n\n")
        await self.flush()


class CancelHandler(FakeHandler):
    """Cancels an attempt."""

    def post(self):
        """Cancel an attempt; confirm an unknown attempt as well."""
        self.endpoint.cancel(self.key(json.loads(self.request.body)))
        self.send_value({"held": False})


class PriorityHandler(FakeHandler):
    """Changes a priority."""

    def post(self):
        """Change the priority of an attempt that waits."""
        document = json.loads(self.request.body)
        self.endpoint.model.reprioritise(
            self.key(document), document["priority"], self.endpoint.now()
        )
        self.send_value({})


class OrderHandler(FakeHandler):
    """Accepts orders; refuses those with an outdated fencing token."""

    def post(self):
        """Record an order."""
        document = json.loads(self.request.body)
        if document["fence"] < self.endpoint.highest_fence:
            self.set_status(409)
            self.finish({"highest_fence": self.endpoint.highest_fence})
            return
        self.endpoint.highest_fence = document["fence"]
        self.endpoint.orders.append(document)
        self.send_value({"ready": True})


class ExportHandler(FakeHandler):
    """Exports the cache of an attempt."""

    def post(self):
        """Return a handle for the attempt, 404 if it is unknown."""
        key = self.key(json.loads(self.request.body))
        if key not in self.endpoint.model.jobs:
            self.set_status(404)
            self.finish({"held": False})
            return
        self.send_value({"handle": f"{self.endpoint.name}/{key[0]}/{key[1]}"})


class ImportHandler(FakeHandler):
    """Imports a cache for an attempt."""

    def post(self):
        """Record the handle."""
        document = json.loads(self.request.body)
        key = self.key(document)
        self.endpoint.imported[key] = document["handle"]
        self.send_value({"held": True})


class PlainHandler(FakeHandler):
    """Answers all calls of a plain service."""

    async def echo(self):
        """Count the call and return its content."""
        key = self.request.headers.get("Idempotency-Key", self.request.path)
        self.endpoint.count_start(key)
        if self.endpoint.plain_s:
            await asyncio.sleep(self.endpoint.plain_s)
        self.send_value(
            {
                "endpoint": self.endpoint.name,
                "method": self.request.method,
                "path": self.request.path,
                "runs": self.endpoint.runs[key],
                "echo": self.request.body.decode(errors="replace"),
            }
        )

    get = post = put = delete = patch = echo
