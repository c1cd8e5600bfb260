"""Modes and output lines of the child program of the signal tests."""

AT_EACH_CHANGE = "at-each-change"
STOPPED_WHILE_STARTING = "stopped-while-starting"
DRAINING = "draining"

RUNS = "runs"
DRAINS = "drains"
DRAINED = "drained"
DUMP = "a dump of the state"
