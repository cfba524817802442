"""The exceptions that pollenroad raises, all below `PollenroadError`."""

from pollenroad.verdicts import Verdict


class PollenroadError(Exception):
    """Root of every exception of this package."""


class ConfigurationError(PollenroadError):
    """A file or document is not valid.

    Attributes:
        source: File name or document key.
        path: Path within the document, such as `$.slots`.
        reason: What is wrong there.
        hint: What to do about it, or an empty string.
    """

    def __init__(self, source: str, path: str, reason: str, hint: str = ""):
        self.source = source
        self.path = path
        self.reason = reason
        self.hint = hint
        super().__init__(f"{source}: {path}: {reason}" + (f" ({hint})" if hint else ""))


class PeerError(PollenroadError):
    """A peer link failed, or a peer sent a frame that is not well formed."""


class PlatformError(PollenroadError):
    """The platform could not be read."""


class HistoryLost(PlatformError):  # noqa: N818 (a state of the platform, not a fault)
    """The platform no longer holds the changes that were asked for."""


class ExchangeError(PollenroadError):
    """An HTTP exchange had no whole answer.

    Attributes:
        reached: Whether the server may have had the request.
    """

    def __init__(self, reason: str, reached: bool):
        self.reached = reached
        super().__init__(reason)


class CallError(PollenroadError):
    """A call had no whole answer.

    Attributes:
        verdict: Whether the request may have run.
        reason: The reason code, as listed in docs/INTERFACES.md.
    """

    def __init__(self, verdict: Verdict, reason: str):
        self.verdict = verdict
        self.reason = reason
        super().__init__(f"{reason} ({verdict.value})")
