"""Steps of an entry that stores outcomes before it responds."""

import asyncio

from behave import given
from behave import then
from behave import when
from expression import Ok

from _coltsfootroad.control import outcomes
from _coltsfootroad.core import actions
from _coltsfootroad.core import errors
from _coltsfootroad.core import request as request_lib
from _coltsfootroad.shell import clientmemory
from _coltsfootroad.shell import entryserver
from _coltsfootroad.shell import links
from _coltsfootroad.shell import metrics
from _coltsfootroad.shell import settings as settings_lib
from features.support import virtualloop

REQUEST = "r-1"
TOLERANCE_S = 1e-6


class SlowControl(links.ControlClient):
    """A control plane that acknowledges each call after a delay."""

    def __init__(self, delay_s: float | None):
        self.delay_s = delay_s

    async def call(self, message, timeout_s):
        """Return the acknowledgement, or a failure after the timeout."""
        del message
        if self.delay_s is None or self.delay_s > timeout_s:
            await asyncio.sleep(timeout_s)
            return links.unreachable("no response")
        await asyncio.sleep(self.delay_s)
        return Ok(outcomes.Done())


def measure_end(delay_s, end, left_s, claimed=True) -> float:
    """Return when the caller of a call gets the end of its response."""

    async def run() -> float:
        loop = asyncio.get_running_loop()
        settings = settings_lib.EntrySettings(
            entry="entry-0",
            listen="127.0.0.1:1",
            admin_listen="127.0.0.1:2",
            admin_token="",
        )
        server = entryserver.EntryServer(
            settings,
            1,
            SlowControl(delay_s),
            None,
            metrics.Metrics.start("t"),
            clientmemory.ClientMemory.of(settings),
        )
        channel = entryserver.ResponseChannel()
        server.channels[REQUEST] = channel
        started_at = loop.time()
        request = request_lib.Request(
            request_id=REQUEST,
            workspace="acme",
            service="shop",
            prompt_tokens=1,
            output_tokens=1,
            arrived_at=started_at,
            deadline_at=started_at + left_s,
            non_idempotent=True,
            idempotency_key="k",
        )
        if claimed:
            server.execute(
                actions.SettleClaim(request=request, ran=errors.Ran.YES)
            )
        server.execute(end)
        await channel.events.get()
        took_s = loop.time() - started_at
        for task in server.tasks:
            task.cancel()
        return took_s

    with virtualloop.virtual_time() as loop:
        return loop.run_until_complete(run())


@given("an entry whose control plane stores outcomes never")
def never(context):
    context.delay_s = None


@given("an entry whose control plane stores outcomes after {seconds:g} s")
def slow(context, seconds):
    context.delay_s = seconds


@when("a claimed call is answered with {left:g} s left")
def answered(context, left):
    finish = actions.Finish(request_id=REQUEST, answer=None)
    context.took_s = measure_end(context.delay_s, finish, left)


@when("a claimed call fails with {left:g} s left")
def failed(context, left):
    failure = errors.Failure(errors.ErrorCode.ENDPOINT_FAILED, "it failed")
    fail = actions.Fail(request_id=REQUEST, failure=failure)
    context.took_s = measure_end(context.delay_s, fail, left)


@when("an unclaimed call is answered")
def unclaimed(context):
    finish = actions.Finish(request_id=REQUEST, answer=None)
    context.took_s = measure_end(context.delay_s, finish, 10.0, claimed=False)


@then("the caller gets the end of the response after {seconds:g} s")
def ends_after(context, seconds):
    assert abs(context.took_s - seconds) < TOLERANCE_S, context.took_s
