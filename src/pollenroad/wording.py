"""Values in words: numbers with their units, and lists, for sentences that a person reads."""

from collections.abc import Sequence

SECOND_MS = 1000
"""Milliseconds in a second."""

MINUTE_S = 60
"""Seconds in a minute."""

KIBIBYTE = 1024
"""Bytes in a KiB."""

MEBIBYTE = 1024 * 1024
"""Bytes in a MiB."""


def number(value: float) -> str:
    """Return a number without a needless decimal point, such as `20` or `0.5`."""
    return str(int(value)) if float(value).is_integer() else repr(float(value))


def count(value: float, noun: str) -> str:
    """Return a number and its noun, such as `1 server` or `3 servers`; zero is `no servers`."""
    if value == 0:
        return f"no {noun}s"
    return f"{number(value)} {noun}" if value == 1 else f"{number(value)} {noun}s"


def requests(value: float) -> str:
    """Return a number of requests."""
    return count(value, "request")


def servers(value: float) -> str:
    """Return a number of servers."""
    return count(value, "server")


def connections(value: float) -> str:
    """Return a number of connections."""
    return count(value, "connection")


def messages(value: float) -> str:
    """Return a number of messages."""
    return count(value, "message")


def second_tries(value: float) -> str:
    """Return a number of attempts beyond the first."""
    return "no second tries" if value == 0 else f"{number(value)} second tries"


def times(value: float) -> str:
    """Return how often: `once`, `twice` or `3 times`."""
    return {1: "once", 2: "twice"}.get(value, f"{number(value)} times")


def seconds(value: float) -> str:
    """Return a length of time given in seconds."""
    if value and value % MINUTE_S == 0:
        return count(value / MINUTE_S, "minute")
    return "0 seconds" if value == 0 else count(value, "second")


def milliseconds(value: float) -> str:
    """Return a length of time given in milliseconds, from a second on in seconds."""
    if value >= SECOND_MS:
        return seconds(value / SECOND_MS)
    return "0 milliseconds" if value == 0 else count(value, "millisecond")


def percent(share: float) -> str:
    """Return a share from 0 to 1 as a percentage, exact to 12 digits."""
    return f"{float(f'{share * 100:.12g}'):g}%" if share else "0%"


def size(value: int) -> str:
    """Return a number of bytes, in KiB or MiB where it is a whole number of them."""
    if value and value % MEBIBYTE == 0:
        return f"{value // MEBIBYTE} MiB"
    if value and value % KIBIBYTE == 0:
        return f"{value // KIBIBYTE} KiB"
    return "0 bytes" if value == 0 else count(value, "byte")


def join(names: Sequence[str]) -> str:
    """Return names as a list in words, such as `a, b and c`."""
    if len(names) < 2:
        return "".join(names)
    return f"{', '.join(names[:-1])} and {names[-1]}"


def sentence(text: str) -> str:
    """Return `text` with a capital at its start."""
    return text[:1].upper() + text[1:]
