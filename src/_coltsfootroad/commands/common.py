"""Flags, settings, signals and exit codes that all programs share."""

import asyncio
from collections.abc import Callable
import gc
import signal
import sys
from typing import NoReturn

from absl import flags

from _coltsfootroad import version
from _coltsfootroad.shell import allocator
from _coltsfootroad.shell import commandline
from _coltsfootroad.shell import listening
from _coltsfootroad.shell import logs
from _coltsfootroad.shell import processsignals
from _coltsfootroad.shell import settings as settings_lib
from _coltsfootroad.shell import startsignals

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
LOG = logs.logger("main")

SETTINGS = flags.DEFINE_string("settings", None, "Path of the settings file.")
VERSION = flags.DEFINE_bool("version", False, "Print the version and exit.")


HELP_FLAGS = ("-h", "--help", "-help")


def start(main: Callable[[list[str]], int], usage: str = "") -> None:
    """Parse the command line and run a program.

    `--help` prints `usage`, a description of the program, above the flags.
    """
    if usage and any(word in HELP_FLAGS for word in sys.argv[1:]):
        print(usage.strip())
        print(flags_help())
        sys.exit(EXIT_OK)

    def run_main(arguments: list[str]) -> int:
        if VERSION.value:
            print(version.VERSION)
            return EXIT_OK
        return main(arguments)

    # Objects created by the imports live as long as the process, so the garbage
    # collector does not need to scan them.
    gc.freeze()
    gc.enable()
    try:
        sys.exit(run_main(parse_flags(sys.argv)))
    finally:
        if commandline.is_server(sys.argv):
            startsignals.ignore()


def flags_help() -> str:
    """Return the help of the project's own flags."""
    flags_by_module = flags.FLAGS.flags_by_module_dict()
    own_modules = [
        name for name in flags_by_module if name.startswith("_coltsfootroad")
    ]
    return "\n".join(
        flags.FLAGS.module_help(name) for name in sorted(own_modules)
    )


def parse_flags(arguments: list[str]) -> list[str]:
    """Parse flags; report an invalid flag in one line, without a traceback."""
    try:
        return flags.FLAGS(arguments)
    except flags.Error as error:
        reject_usage(f"{error}; see --help")


def print_error(message: str) -> None:
    """Print a message to standard error."""
    print(message, file=sys.stderr)


def read_settings(kind: type) -> object:
    """Return the settings, or exit with the error message."""
    if not SETTINGS.value:
        reject_usage("--settings is missing; see examples/ for a sample")
    loaded = settings_lib.load(SETTINGS.value, kind)
    if loaded.is_error():
        reject_usage(loaded.error)
    return loaded.ok


def reject_usage(message: str) -> NoReturn:
    """Print a usage error and exit, ignoring signals that arrive meanwhile."""
    if commandline.is_server(sys.argv):
        startsignals.ignore()
    print_error(message)
    sys.exit(EXIT_USAGE)


def run_loop(main) -> int:
    """Run a coroutine function on an event loop; return the exit code.

    Failure to open a listener is reported in one line, without a traceback.
    """
    signals = processsignals.PROCESS
    signals.install()
    allocator.map_large_blocks()

    async def run_main() -> int:
        signals.attach(asyncio.get_running_loop())
        return await main()

    try:
        return asyncio.run(run_main())
    except listening.ListenError as error:
        print_error(str(error))
        return EXIT_FAILED
    finally:
        signals.ignore()


async def wait_for_stop(
    failures: list[asyncio.Future],
    dump: Callable[[], bytes],
    stop_requested: asyncio.Future | None = None,
) -> bool:
    """Wait for SIGTERM, SIGINT or `stop_requested`; return False on a failure.

    A stop requested during startup counts. SIGUSR1 writes a dump of the state
    to standard error, also while the program drains.

    Args:
        failures: Futures that get an exception when an invariant is violated.
        dump: Returns the state dump.
        stop_requested: Completes when another party stops the program.
    """
    loop = asyncio.get_running_loop()
    stop = (
        stop_requested if stop_requested is not None else loop.create_future()
    )

    def on_stop() -> None:
        if not stop.done():
            stop.set_result(True)

    signals = processsignals.PROCESS
    signals.set_action(signal.SIGUSR1, lambda: write_dump(dump))
    signals.set_stop_action(on_stop)
    done, _ = await asyncio.wait(
        [stop, *failures], return_when=asyncio.FIRST_COMPLETED
    )
    failed = [future for future in done if future is not stop]
    for future in failed:
        LOG.critical("stopping: {!r}", future.exception())
    return not failed


def set_reload_action(action: Callable[[], None]) -> None:
    """Run an action on each SIGHUP until the program stops."""
    processsignals.PROCESS.set_action(signal.SIGHUP, action)


def write_dump(dump: Callable[[], bytes]) -> None:
    """Write a dump to standard error."""
    print(dump().decode(), file=sys.stderr, flush=True)
