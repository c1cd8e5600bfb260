"""Steps for the port allocation of programs under test."""

from unittest import mock

from behave import then
from behave import when

from _coltsfootroad.fakes import ports


@when("{count:d} ports are allocated, few at a time, from a range of {size:d}")
def allocate_ports(context, count, size):
    context.range = range(ports.MIN_PORT, ports.MIN_PORT + size)
    context.ports = []
    with (
        mock.patch.object(ports, "MAX_PORT", ports.MIN_PORT + size),
        mock.patch.object(ports, "RETURNED_PORTS", set()),
    ):
        while len(context.ports) < count:
            context.ports += ports.free_ports(2, ports.process_host())
            context.ports.append(ports.free_port(ports.process_host()))


@then("all of them differ")
def all_differ(context):
    assert len(set(context.ports)) == len(context.ports), context.ports


@then("each of them is one of the {size:d}")
def in_range(context, size):
    assert len(context.range) == size
    assert set(context.ports) <= set(context.range), context.ports
