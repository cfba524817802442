"""Memory of this process: what it uses, and how it returns what it no longer needs."""

import os

from pollenroad.proxy.memory.account import PURPOSES, Account

MEGABYTE = 1_048_576

MMAP_THRESHOLD_BYTES = 131_072
"""Length from which the C library allocates a block of its own, in bytes, which is returned to the
system when it is freed. By default the threshold grows with the longest block that was freed, up to
32 MiB; later blocks then fragment the heap, and stay resident."""

_M_MMAP_THRESHOLD = -3
"""Number of the option of `mallopt` in the C library."""


def return_long_blocks() -> None:
    """Make the C library return long blocks to the system as soon as they are freed."""
    import ctypes

    try:
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    except (OSError, AttributeError):
        return  # A C library without this option returns such blocks anyway.


def resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def memory_gauges(account: Account) -> dict[str, float]:
    """Return the resident memory and the bytes held, by the name of the gauge."""
    gauge_by_name = {
        "resident_bytes": float(resident_bytes()),
        "held_queued_frames_bytes": float(account.queued_bytes),
    }
    for purpose in PURPOSES:
        held_bytes = account.long_by_purpose[purpose] + account.small_by_purpose[purpose]
        gauge_by_name[f"held_{purpose.value}_bytes"] = float(held_bytes)
    return gauge_by_name
