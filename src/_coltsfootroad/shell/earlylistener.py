"""Opens a program's listener before its libraries are imported.

After a power failure of all VMs, callers try only twice within a second or two.
Importing the libraries takes a large part of that time on a small VM. A
connection that is refused in the meantime is one of the two tries, while one in
the listener's queue is served as soon as the program runs.

Uses the standard library only. Errors are ignored here, as the checks of the
settings and the regular listener report them later.
"""

import json
import socket

from _coltsfootroad.shell import commandline

# Keys in the settings file.
ENABLED_KEY = "listen_early"
ADDRESS_KEY = "listen"
# Queued connections; more than callers open while a program starts.
BACKLOG = 1_024

listeners: dict[str, socket.socket] = {}


def listen(arguments: list[str]) -> None:
    """Open the listener if the settings file of a command line enables it."""
    try:
        path = commandline.settings_path(arguments)
        with open(path, encoding="utf-8") as file:
            settings = json.load(file)
        if settings.get(ENABLED_KEY) is True:
            address = settings[ADDRESS_KEY]
            listeners[address] = open_listener(address)
    except (OSError, ValueError, LookupError, AttributeError, TypeError):
        # The settings are read again later, and each error is reported then.
        return


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens at `ip:port`.

    Raises OSError, or ValueError if the port is not a number.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except (OSError, ValueError):
        listener.close()
        raise
    return listener


def take_listener(address: str) -> socket.socket:
    """Return the listening socket of an address, opened early or now."""
    return listeners.pop(address, None) or open_listener(address)
