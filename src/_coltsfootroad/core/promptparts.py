"""Parts of a prompt that requests share, as callers state them."""

# Parts of a prompt that are considered, and characters of an id. A caller may
# state any number; these bound the memory of suspects and their reports.
MAX_PARTS = 16
MAX_ID_CHARS = 40
# Digits of a part's tokens; no prompt has a hundred million tokens.
MAX_TOKEN_DIGITS = 8


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


def leading_parts(text: str) -> tuple[tuple[str, int], ...]:
    """Return ids and tokens of the parts that precede the request's own.

    Ends at the first malformed entry, as the beginning of the prompt is known
    only up to there.

    Args:
        text: As for `shared_parts`.
    """
    parts = []
    for entry in text.split(",", MAX_PARTS)[:-1]:
        part_id, _, stated = (s.strip() for s in entry.partition(":"))
        is_number = stated.isascii() and stated.isdigit()
        if not 0 < len(part_id) <= MAX_ID_CHARS or not is_number:
            break
        if len(stated) > MAX_TOKEN_DIGITS or int(stated) == 0:
            break
        parts.append((part_id.lower(), int(stated)))
    return tuple(parts)
