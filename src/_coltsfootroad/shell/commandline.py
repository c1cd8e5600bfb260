"""Reads what a command line says before its flags are parsed.

Imports nothing but built-in modules: signals are handled only after it.
"""

SETTINGS_FLAG = "--settings"


def has_settings(arguments) -> bool:
    """Return whether a command line names a settings file."""
    return any(
        word == SETTINGS_FLAG or word.startswith(SETTINGS_FLAG + "=")
        for word in arguments
    )


def settings_path(arguments) -> str:
    """Return the path of the settings file, empty if none is given."""
    for index, word in enumerate(arguments):
        if word == SETTINGS_FLAG:
            return arguments[index + 1]
        if word.startswith(SETTINGS_FLAG + "="):
            return word.partition("=")[2]
    return ""
