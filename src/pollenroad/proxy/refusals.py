"""Reasons for which a guard that takes work refuses an attempt."""

SLOW = "slow"
"""Refusal reason: the server is slower than the entry assumed."""

FULL = "full"
"""Refusal reason, on arrival: no slot is free, although the entry assumed one."""

OVERLOADED = "overloaded"
"""Refusal reason: the attempt cannot start in time."""

DISPLACED = "displaced"
"""Refusal reason: attempts that arrived later and start earlier leave no slot in time."""

LIMITED = "limited"
"""Refusal reason: the limit that the server states leaves no room before the latest start."""

AT_LIMIT = "at-limit"
"""Refusal reason: the server is at the limit that it states, although the entry assumed room."""

SERVER_DOWN = "server-down"
"""Refusal reason: the server has not answered its last health checks."""

SHED = "shed"
"""Refusal reason: the server itself rejected the request."""

CALLS_REFUSED = "calls-refused"
"""Refusal reason: runs of this route fail, since calls that they make are refused."""

PUSHBACK_REASONS = frozenset({SLOW, FULL, AT_LIMIT})
"""Reasons of pushbacks: refusals because the entry assumed an outdated load."""
