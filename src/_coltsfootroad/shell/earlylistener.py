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
ENABLED_KEY = "listen_early"
ADDRESS_KEY = "listen"
# Connections that may wait; more than callers open while a program starts.
BACKLOG = 1_024

listeners: dict[str, socket.socket] = {}


def listen(arguments: list[str]) -> None:
    """Listen where the settings file of a command line says."""
    try:
        path = commandline.settings_path(arguments)
        with open(path, encoding="utf-8") as file:
            settings = json.load(file)
        if settings.get(ENABLED_KEY) is True:
            address = settings[ADDRESS_KEY]
            listeners[address] = open_listener(address)
    except (OSError, ValueError, LookupError, AttributeError, TypeError):
        # The settings are read again, by what explains each fault.
        return


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens at `ip:port`; raises OSError."""
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
    """Return the listening socket of an address, open already or new."""
    return listeners.pop(address, None) or open_listener(address)
