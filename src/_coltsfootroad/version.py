"""Version of the package, as `--version` shows it."""

VERSION = "0.1.0"
