"""Measures how long processes waited for processors, disk and memory.

A failure that only occurs on a busy machine may be caused by a wait for any of
these resources; the pressure counters of the kernel tell them apart.
"""

import pathlib
import time

import attrs

PRESSURE = pathlib.Path("/proc/pressure")
STAT = pathlib.Path("/proc/stat")
LOAD = pathlib.Path("/proc/loadavg")
RESOURCES = ("cpu", "io", "memory")
MICROSECONDS_PER_S = 1e6
TICKS_PER_S = 100
# Index of the steal time in the `cpu` line of /proc/stat.
STEAL_FIELD = 8


@attrs.frozen(kw_only=True)
class MachineLoad:
    """Cumulative times since the machine's start, in seconds.

    Attributes:
        at: Monotonic time of the measurement.
        waiting_s: Time in which some process waited, by resource.
        all_stalled_s: Time in which all processes waited at once, by resource.
        stolen_s: Time in which the hypervisor ran another machine.
    """

    at: float
    waiting_s: dict[str, float]
    all_stalled_s: dict[str, float]
    stolen_s: float


def measure(
    pressure: pathlib.Path = PRESSURE, stat: pathlib.Path = STAT
) -> MachineLoad:
    """Return the current counters; 0 for counters that the system lacks."""
    totals = {name: read_pressure(pressure / name) for name in RESOURCES}
    return MachineLoad(
        at=time.monotonic(),
        waiting_s={
            name: total.get("some", 0.0) for name, total in totals.items()
        },
        all_stalled_s={
            name: total.get("full", 0.0) for name, total in totals.items()
        },
        stolen_s=read_steal(stat),
    )


def read_pressure(path: pathlib.Path) -> dict[str, float]:
    """Return a resource's totals, in seconds, by kind (`some`, `full`)."""
    try:
        lines = path.read_text().splitlines()
    except OSError:
        return {}
    return {
        line.split()[0]: int(line.rpartition("total=")[2]) / MICROSECONDS_PER_S
        for line in lines
    }


def read_steal(path: pathlib.Path) -> float:
    """Return the steal time of all processors, in seconds."""
    try:
        fields = path.read_text().splitlines()[0].split()
    except OSError:
        return 0.0
    return (
        int(fields[STEAL_FIELD]) / TICKS_PER_S
        if len(fields) > STEAL_FIELD
        else 0.0
    )


def describe(before: MachineLoad, after: MachineLoad) -> str:
    """Describe how long processes waited between two measurements."""
    parts = [
        f"{name} {after.waiting_s[name] - before.waiting_s[name]:.1f} s"
        f" (all {after.all_stalled_s[name] - before.all_stalled_s[name]:.1f} s)"
        for name in RESOURCES
    ]
    return (
        f"in {after.at - before.at:.1f} s processes waited for"
        f" {', '.join(parts)}; {after.stolen_s - before.stolen_s:.1f} s stolen;"
        f" load {read_load()}"
    )


def read_load() -> str:
    """Return the load averages; empty if the system has none."""
    try:
        return " ".join(LOAD.read_text().split()[:3])
    except OSError:
        return ""
