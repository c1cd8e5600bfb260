"""Steps on the ports of programs under test."""

from unittest import mock

from behave import then
from behave import when

from _coltsfootroad.fakes import ports


@when("{count:d} ports are handed out, few of them at a time, from {many:d}")
def handed_out(context, count, many):
    context.range = range(ports.MIN_PORT, ports.MIN_PORT + many)
    context.ports = []
    with (
        mock.patch.object(ports, "MAX_PORT", ports.MIN_PORT + many),
        mock.patch.object(ports, "RETURNED_PORTS", set()),
    ):
        while len(context.ports) < count:
            context.ports += ports.free_ports(2, ports.process_host())
            context.ports.append(ports.free_port(ports.process_host()))


@then("all of them differ")
def all_differ(context):
    assert len(set(context.ports)) == len(context.ports), context.ports


@then("each of them is one of the {many:d}")
def in_range(context, many):
    assert len(context.range) == many
    assert set(context.ports) <= set(context.range), context.ports
