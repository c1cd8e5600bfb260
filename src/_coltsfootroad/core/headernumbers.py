"""Reads numbers from the headers of other programs.

A header may hold any characters and any number of digits: digits of other
scripts, more than Python converts, or a number beyond the range of floats.
"""

# Numbers above it are read as this one. It stands for more tokens, time or
# connections than exist, and sums and squares of it are exact or in range.
MAX_COUNT = 10**15
MAX_COUNT_DIGITS = len(str(MAX_COUNT)) - 1
# Python converts at most so many digits.
MAX_DIGITS = 4_300


def is_number(text: str) -> bool:
    """Return whether a text consists of the digits 0 to 9."""
    return text.isascii() and text.isdigit()


def read_count(text: str) -> int | None:
    """Return the number in a text, at most `MAX_COUNT`; None if it is none."""
    if not is_number(text):
        return None
    digits = text.lstrip("0")
    if len(digits) > MAX_COUNT_DIGITS:
        return MAX_COUNT
    return int(digits or "0")


def read_integer(text: str) -> int | None:
    """Return the exact number in a text, None if it is none or too long."""
    if not is_number(text) or len(text) > MAX_DIGITS:
        return None
    return int(text)
