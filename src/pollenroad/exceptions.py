"""Exceptions that pollenroad raises, all derived from `PollenroadError`."""

from pollenroad.verdicts import Verdict


class PollenroadError(Exception):
    """Base class of all exceptions of this package."""


class ConfigurationError(PollenroadError):
    """A file or document is invalid.

    Attributes:
        source: File name or document key.
        path: Path within the document, such as `$.slots`.
        reason: Description of the error.
        hint: How to correct the error, or an empty string.
    """

    def __init__(self, source: str, path: str, reason: str, hint: str = ""):
        self.source = source
        self.path = path
        self.reason = reason
        self.hint = hint
        super().__init__(f"{source}: {path}: {reason}" + (f" ({hint})" if hint else ""))


class PeerError(PollenroadError):
    """A peer link failed, or a peer sent a malformed frame."""


class NoSpaceError(PollenroadError):
    """There is no memory for a message in its time.

    Attributes:
        retry_after_s: After how many seconds there is likely to be, in seconds.
    """

    def __init__(self, reason: str, retry_after_s: float):
        self.retry_after_s = retry_after_s
        super().__init__(reason)


class PlatformError(PollenroadError):
    """The platform could not be read."""


class UnreadableAnswer(PlatformError):  # noqa: N818 (a property of the answer)
    """The platform answered, but with something that cannot be read, as it is too long.

    The same request would lead to the same answer.
    """


class HistoryLost(PlatformError):  # noqa: N818 (a state of the platform, not an error)
    """The platform no longer has the changes that were requested."""


class ExchangeError(PollenroadError):
    """An HTTP exchange ended without a complete answer.

    Attributes:
        reached: Whether the server may have received any of the request.
    """

    def __init__(self, reason: str, reached: bool):
        self.reached = reached
        super().__init__(reason)


class ResponseError(ExchangeError):
    """A response was rejected, as it is malformed or incomplete; the request may have run."""

    def __init__(self, reason: str):
        super().__init__(reason, reached=True)


class MalformedResponse(PollenroadError):  # noqa: N818 (a property of the response)
    """The head or the framing of a response is not valid HTTP/1."""


class CallError(PollenroadError):
    """A call ended without a complete answer.

    Attributes:
        verdict: Whether the request may have run.
        reason: The reason code, as listed in docs/INTERFACES.md.
    """

    def __init__(self, verdict: Verdict, reason: str):
        self.verdict = verdict
        self.reason = reason
        super().__init__(f"{reason} ({verdict.value})")
