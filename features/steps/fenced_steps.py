"""Steps for refusals of entries with a current or outdated configuration."""

import asyncio
import json
import random
import types

from behave import given
from behave import then
from behave import when
from tornado import httpclient
import tornado.web

from _coltsfootroad.core import config as config_lib
from _coltsfootroad.core import entry as entry_lib
from _coltsfootroad.core import servicekind
from _coltsfootroad.shell import entryapi
from _coltsfootroad.shell import web

KEY = "secret"
SERVICE = "calls"
MAX_BODY_BYTES = 10
AGE_S = {"current": 0.0, "outdated": 60.0}


@given("an entry whose configuration is {state}")
def set_configuration_age(context, state):
    context.age_s = AGE_S[state]


def make_core(now: float, age_s: float) -> entry_lib.EntryCore:
    """Return an entry's core with a configuration confirmed `age_s` ago."""
    core = entry_lib.EntryCore("e1", 1, random.Random(1))
    workspace = config_lib.Workspace(
        key_sha256=(web.hash_key(KEY),), services=(SERVICE,)
    )
    service = config_lib.Service(
        kind=servicekind.ServiceKind.PLAIN, max_body_bytes=MAX_BODY_BYTES
    )
    config = config_lib.Config(
        workspaces={"w": workspace}, services={SERVICE: service}
    )
    core.freshness.adopt(1, {}, config)
    core.freshness.confirm(now - age_s)
    return core


@when("a caller sends it a request with {fault}")
def send_request(context, fault):
    async def run():
        loop = asyncio.get_running_loop()
        core = make_core(loop.time(), context.age_s)
        server = types.SimpleNamespace(core=core, loop=loop)
        app = tornado.web.Application(entryapi.routes(server))
        listener = app.listen(0, "127.0.0.1")
        (socket,) = listener._sockets.values()
        name = "nobodys" if fault == "an unknown service" else SERVICE
        key = "wrong" if fault == "an unknown key" else KEY
        size = 2 * MAX_BODY_BYTES if fault == "a body too large" else 1
        client = httpclient.AsyncHTTPClient(force_instance=True)
        context.response = await client.fetch(
            f"http://127.0.0.1:{socket.getsockname()[1]}/services/{name}/x",
            method="POST",
            headers={"Authorization": f"Bearer {key}"},
            body=b"x" * size,
            raise_error=False,
        )
        client.close()
        listener.stop()

    asyncio.run(run())


@then("it is refused with {status:d} as {code}")
def refused_as(context, status, code):
    response = context.response
    error = json.loads(response.body)["error"]
    assert (response.code, error["code"]) == (status, code), response.body
