"""Clocks of a VM beyond the monotonic one."""

import time

READS = 3
"""Reads of both clocks of which the closest pair counts."""


def suspended_s() -> float:
    """Return for how long this VM has been suspended since it started, in seconds.

    The monotonic clock stops meanwhile, the boot clock does not. The process may be paused between
    the reads of the two, so that only the least difference counts.
    """
    return max(0.0, min(_difference_s() for _ in range(READS)))


def _difference_s() -> float:
    monotonic_s = time.monotonic()
    return time.clock_gettime(time.CLOCK_BOOTTIME) - monotonic_s
