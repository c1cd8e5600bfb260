"""Opens a program's listener before its libraries are imported.

The pattern it answers: all VMs lose power at once, and callers try twice within
a second or two. Importing the libraries takes a good part of that on a small
VM; a connection that is refused meanwhile is one of two tries, while one that
waits in the listener's queue is served as soon as the program runs.

Needs nothing but the standard library. Whatever is wrong is left to the checks
of the settings and to the listener itself, which come later and say so.
"""

import json
import socket

from _coltsfootroad.shell import commandline

# Name of the setting that asks for this, and of the one with the address.
ASKED = "listen_early"
ADDRESS = "listen"
# Connections that may wait; more than callers open while a program starts.
BACKLOG = 1_024

opened: dict[str, socket.socket] = {}


def listen(arguments: list[str]) -> None:
    """Listen where the settings file of a command line says."""
    try:
        path = commandline.settings_path(arguments)
        with open(path, encoding="utf-8") as file:
            settings = json.load(file)
        if settings.get(ASKED) is True:
            address = settings[ADDRESS]
            opened[address] = bound(address)
    except (OSError, ValueError, LookupError, AttributeError, TypeError):
        # The settings are read again, by what explains each fault.
        return


def bound(address: str) -> socket.socket:
    """Return a socket that listens at `ip:port`; raises OSError."""
    host, _, port = address.rpartition(":")
    found = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        found.setblocking(False)
        found.bind((host, int(port)))
        found.listen(BACKLOG)
    except (OSError, ValueError):
        found.close()
        raise
    return found


def take(address: str) -> socket.socket:
    """Return the listening socket of an address, open already or new."""
    return opened.pop(address, None) or bound(address)
