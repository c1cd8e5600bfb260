"""Parts of a prompt that requests share, as callers state them."""

# Parts of a prompt that are considered, and characters of an id. A caller may
# state any number; these bound the memory of suspects and their reports.
MAX_PARTS = 16
MAX_ID_CHARS = 40


def shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of the parts that other requests may have as well.

    Malformed entries are ignored: the ids only tell requests apart.

    Args:
        text: Comma-separated `ID:TOKENS` in the order of the prompt. The last
            entry is the request's own.
    """
    entries = text.split(",", MAX_PARTS)[:-1]
    ids = (entry.partition(":")[0].strip().lower() for entry in entries)
    return tuple(dict.fromkeys(i for i in ids if 0 < len(i) <= MAX_ID_CHARS))
