"""Command lines; each module is one program."""
