"""Steps for requests that crash engines by a part that they share."""

from behave import given
from behave import then
from behave import when

from _coltsfootroad.core import promptparts
from features.support import crashworld
from features.support import parthistories
from features.support import partworld


@given(
    "{gateways:d} gateways in front of {engines:d} engines that stream,"
    " seed {seed:d}"
)
def given_fleet(context, gateways, engines, seed):
    manager = partworld.fleet(gateways, engines, seed)
    context.world, context.go = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)


@when(
    "requests with a part that crashes engines {mode} come every {every:g} s"
    " for {seconds:g} s"
)
def one_part(context, mode, every, seconds):
    context.world.mode = partworld.CrashMode(mode)
    parthistories.send_one_part(context.world, context.go, every, seconds)


@then(
    "each such part reaches engines at most {count:d} times later than"
    " {seconds:g} s after its fifth crash"
)
def bounded(context, count, seconds):
    assert count == partworld.ALLOWED_SENDS
    assert seconds == crashworld.CONTACT_S
    context.world.check_sends()


@then(
    "proper requests with the same key or first part are served half as often"
    " as before"
)
def served(context):
    context.world.check_served(parthistories.PROPER)


@then("no part of proper requests is in quarantine")
def no_proper_part(context):
    parthistories.check_no_proper_part(context.world)


@then('a prompt stated as "{header}" shares the parts "{parts}"')
@then('a prompt stated as "{header}" shares the parts ""')
@then('a prompt stated as "" shares the parts ""')
def shared(context, header="", parts=""):
    del context
    assert " ".join(promptparts.shared_parts(header)) == parts


@then("a prompt stated with {count:d} parts shares {shared_count:d} parts")
def bounded_parts(context, count, shared_count):
    del context
    header = ",".join(f"{number:x}:10" for number in range(count))
    assert len(promptparts.shared_parts(header)) == shared_count
    too_long = "a" * (promptparts.MAX_ID_CHARS + 1)
    assert not promptparts.shared_parts(f"{too_long}:1,e440:250")
