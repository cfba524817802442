"""Phrases for sentences: numbers with their units, and lists of names."""

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
    """Return a number with its noun, such as `1 server` or `3 servers`; zero is `no servers`."""
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


def repeats(value: float) -> str:
    """Return a number of repeats, which are attempts beyond the first."""
    return count(value, "repeat")


def repeats_of_100(share: float) -> str:
    """Return the number of repeats for 100 requests, given as a share from 0 to 1."""
    return repeats(float(f"{share * 100:.12g}"))


def expected_requests(value: float) -> str:
    """Return a number of requests; 0 means that none is stated."""
    return requests(value) if value else "an unknown number"


def times(value: float) -> str:
    """Return a number of times: `once`, `twice` or `3 times`."""
    return {1: "once", 2: "twice"}.get(value, f"{number(value)} times")


def seconds(value: float) -> str:
    """Return a duration given in seconds, in minutes if it is a whole number of them."""
    if value and value % MINUTE_S == 0:
        return count(value / MINUTE_S, "minute")
    return "0 seconds" if value == 0 else count(value, "second")


def seconds_or_never(value: float) -> str:
    """Return a duration given in seconds; 0 means never."""
    return seconds(value) if value else "never"


def milliseconds(value: float) -> str:
    """Return a duration given in milliseconds, in seconds from 1000 ms on."""
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


def instead_of(old: str, new: str) -> str:
    """Return `instead of` and the old value, without its unit if the new value has the same."""
    amount, _, unit = old.partition(" ")
    if amount == "no":
        return "instead of none"
    if unit and unit == new.partition(" ")[2]:
        return f"instead of {amount}"
    return f"instead of {old}"


def join(names: Sequence[str]) -> str:
    """Return names as a list in words, such as `a, b and c`."""
    if len(names) < 2:
        return "".join(names)
    return f"{', '.join(names[:-1])} and {names[-1]}"


def capitalize_first(text: str) -> str:
    """Return `text` with its first letter in upper case."""
    return text[:1].upper() + text[1:]
