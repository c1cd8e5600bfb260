"""Says what the machine did meanwhile: waits for its processors, disk, memory.

A failure that only shows on a busy machine may be due to any of these; what is
measured here tells them apart.
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
# Place of the time that a hypervisor took, among those of all processors.
STEAL = 8


@attrs.frozen(kw_only=True)
class MachineLoad:
    """Times since the machine's start, in seconds.

    Attributes:
        at: When this was read.
        waited: For how long some process waited, by resource.
        stood_still: For how long all processes waited at once, by resource.
        stolen: For how long a hypervisor ran something else.
    """

    at: float
    waited: dict[str, float]
    stood_still: dict[str, float]
    stolen: float


def read(
    pressure: pathlib.Path = PRESSURE, stat: pathlib.Path = STAT
) -> MachineLoad:
    """Return what the system counts; 0 for what it does not count."""
    totals = {name: read_pressure(pressure / name) for name in RESOURCES}
    return MachineLoad(
        at=time.monotonic(),
        waited={name: found.get("some", 0.0) for name, found in totals.items()},
        stood_still={
            name: found.get("full", 0.0) for name, found in totals.items()
        },
        stolen=read_steal(stat),
    )


def read_pressure(path: pathlib.Path) -> dict[str, float]:
    """Return the totals of one resource."""
    try:
        lines = path.read_text().splitlines()
    except OSError:
        return {}
    return {
        line.split()[0]: int(line.rpartition("total=")[2]) / MICROSECONDS_PER_S
        for line in lines
    }


def read_steal(path: pathlib.Path) -> float:
    """Return the time that was stolen from all processors."""
    try:
        words = path.read_text().splitlines()[0].split()
    except OSError:
        return 0.0
    return int(words[STEAL]) / TICKS_PER_S if len(words) > STEAL else 0.0


def words(before: MachineLoad, after: MachineLoad) -> str:
    """Return what kept processes waiting between two readings."""
    parts = [
        f"{name} {after.waited[name] - before.waited[name]:.1f} s"
        f" (all {after.stood_still[name] - before.stood_still[name]:.1f} s)"
        for name in RESOURCES
    ]
    return (
        f"in {after.at - before.at:.1f} s processes waited for"
        f" {', '.join(parts)}; {after.stolen - before.stolen:.1f} s stolen;"
        f" load {read_load()}"
    )


def read_load() -> str:
    """Return the load averages, empty if there are none."""
    try:
        return " ".join(LOAD.read_text().split()[:3])
    except OSError:
        return ""
