"""Configurations with many routes come in quick succession."""

import os
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig2  # noqa: E402

# A configuration grows by up to 420 routes at a time, here 30 times. Without
# the disruption it grows once.
ROUTES = (30 if rig2.TROUBLE else 1) * 420 + 110
CHANGES_S = 55.0
GAP_S = 0.33
MEMORY_BYTES = 300 * 10**6
RESTART_S = 0.5
AFTER_S = 25.0
# A process that ends by itself so often, on half of the core, is a fault.
ENDS = 3


class Platform:
    """Kills and restarts control processes that use more than memoryMb."""

    def __init__(self, rig):
        self.rig = rig
        self.ends = {m.name: 0 for m in rig.machines}
        self.peak = {m.name: 0 for m in rig.machines}
        self.lock = threading.Lock()
        self.stopped = False
        self.watchers = [
            threading.Thread(target=self.watch, args=(machine,))
            for machine in rig.machines]
        for watcher in self.watchers:
            watcher.start()

    def stop(self):
        """Stop to watch; the processes run on."""
        self.stopped = True
        for watcher in self.watchers:
            watcher.join()

    def watch(self, machine):
        while not self.stopped:
            time.sleep(0.05)
            process = machine.processes["control"]
            used = resident_bytes(process.pid)
            self.peak[machine.name] = max(self.peak[machine.name], used)
            if process.poll() is None and used <= MEMORY_BYTES:
                continue
            why = (f"uses {used // 10**6} MB" if process.poll() is None
                   else f"ended with {process.returncode}")
            if process.poll() is None:
                os.kill(process.pid, signal.SIGKILL)
                process.wait()
            with self.lock:
                self.ends[machine.name] += 1
            self.rig.record.write("control ends", machine=machine.name,
                                  why=f"'{why}'")
            time.sleep(RESTART_S)
            if not self.stopped:
                machine.bootstrap = False
                machine.start("control")
                self.rig.record.write("control starts", machine=machine.name)


def resident_bytes(pid):
    """Return the memory that a process uses, 0 if it has ended."""
    try:
        for line in pathlib.Path(f"/proc/{pid}/status").open():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) * 1024
    except OSError:
        pass
    return 0


def configuration(version, count):
    routes = [
        rig2.route(f"r-{i:06x}", f"/p{i:06x}/", "wuno96b", "safe",
                   timeoutMs=10000 + (version if i == 0 else 0))
        for i in range(count)]
    return rig2.configuration(
        version, routes, [rig2.service("wuno96b", connectionLimit=110)])


def play(rig):
    rig.put_config(configuration(1, 1))
    rig.wait_ready()
    platform = Platform(rig)
    try:
        return play_changes(rig, platform)
    finally:
        platform.stop()


def play_changes(rig, platform):
    """Send the versions and see what becomes of the control processes."""
    acknowledged = version = 1
    end = time.monotonic() + CHANGES_S
    while time.monotonic() < end:
        version += 1
        try:
            rig.put_config(configuration(version, ROUTES), timeout_s=8)
            acknowledged = version
        except rig2.CouldNotRun:
            rig.record.write("not acknowledged", version=version)
        time.sleep(GAP_S)
    rig.record.write("no further changes")
    time.sleep(AFTER_S)
    answers = [rig2.call(m.address("control"), "GET", "/v1/configuration",
                         timeout_s=3) for m in rig.machines]
    read = [a[0] if a else "no answer" for a in answers]
    hit = [name for name, count in platform.ends.items() if count >= ENDS]
    rig.record.write("verdict", ends=platform.ends, acknowledged=acknowledged,
                     peak_mb={n: b // 10**6 for n, b in platform.peak.items()},
                     reads_at_the_end=read)
    return rig2.BROKEN if 2 * len(hit) >= len(rig.machines) else rig2.HELD


rig2.main(FOLDER, play)
