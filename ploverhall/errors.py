"""All errors that ploverhall raises, in one hierarchy.

Every error keeps what it is about as attributes; `str(error)` says what went wrong. The texts of
`InvalidMessageError` and `InvalidHttpError` are part of the answers to users.
"""

from __future__ import annotations


class PloverhallError(Exception):
    """Base of all errors of this package."""


class SettingsError(PloverhallError):
    """A settings or options file cannot be used; the message names the field."""


class InvalidMessageError(PloverhallError):
    """A received message is not in its published form."""

    def __init__(self, field: str = "", problem: str = "") -> None:
        """`field`: name on the wire, empty for the message as a whole; `problem`: what is wrong."""
        super().__init__(": ".join(part for part in (field, problem) if part))
        self.field = field
        self.problem = problem


class InvalidJobError(InvalidMessageError):
    """A job submission is not in the published form."""


class InvalidHeartbeatError(InvalidMessageError):
    """An agent's heartbeat is not in the published form."""


class InvalidPeerMessageError(InvalidMessageError):
    """A message from another controller is not in its form."""


class InvalidRelayMessageError(InvalidMessageError):
    """A relayed request or response is not in its form."""


class InvalidOrderError(InvalidMessageError):
    """A maintenance order is not in its form."""


class InvalidHttpError(PloverhallError):
    """Bytes are no HTTP message that is served here."""

    def __init__(self, status: int, reason: str) -> None:
        """`status`: the HTTP status to answer with."""
        super().__init__(reason)
        self.status = status


class UnreachableError(PloverhallError):
    """No whole response came: the request may or may not have been executed."""


class RelayRefusedError(PloverhallError):
    """A peer did not relay a request: it was certainly not executed."""


class RequestRefusedError(PloverhallError):
    """The key-value store did not execute a request (outage, or over its limits)."""


class OutcomeUnknownError(PloverhallError):
    """A request to the key-value store has an unknown outcome.

    There was no answer, one with an unlisted status, or one in no published form. A write may have
    been executed, or may be executed later; a read says nothing about what is stored.
    """
