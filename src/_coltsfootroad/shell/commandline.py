"""Reads the command line before its flags are parsed.

Imports built-in modules only, as no signal is handled before this module is
imported.
"""

from sys import orig_argv

SETTINGS_FLAG = "--settings"
MODULE_FLAG = "-m"
# Programs that execute one command and exit.
ONE_SHOT_PROGRAMS = ("ctl", "replay")
PROGRAM_PREFIX = "colts-"
SCRIPT_SUFFIX = ".py"


def has_settings(arguments: list[str]) -> bool:
    """Return whether a command line names a settings file."""
    return any(
        word == SETTINGS_FLAG or word.startswith(SETTINGS_FLAG + "=")
        for word in arguments
    )


def settings_path(arguments: list[str]) -> str:
    """Return the path of the settings file, empty if none is given."""
    for index, word in enumerate(arguments):
        if word == SETTINGS_FLAG:
            return arguments[index + 1]
        if word.startswith(SETTINGS_FLAG + "="):
            return word.partition("=")[2]
    return ""


def program_name(
    arguments: list[str], interpreter_arguments: list[str] | None = None
) -> str:
    """Return the name of the program that a process runs.

    While the package of a module is imported, `arguments` holds `-m` in place
    of the module's name; only the interpreter's own arguments hold the name.
    """
    words = list(interpreter_arguments or orig_argv)
    first = arguments[0] if arguments else ""
    if first == MODULE_FLAG and MODULE_FLAG in words[:-1]:
        module = words[words.index(MODULE_FLAG) + 1]
        return module.rpartition(".")[2]
    script = first.rpartition("/")[2]
    return script.removesuffix(SCRIPT_SUFFIX).removeprefix(PROGRAM_PREFIX)


def is_server(
    arguments: list[str], interpreter_arguments: list[str] | None = None
) -> bool:
    """Return whether a command line starts a server program."""
    name = program_name(arguments, interpreter_arguments)
    return has_settings(arguments) and name not in ONE_SHOT_PROGRAMS
