"""Defines the hierarchy of all errors that ploverhall raises.

`str(error)` describes the problem; some errors have attributes with its details. The texts of
`InvalidMessageError` and `InvalidHttpError` are part of the answers to users.
"""

from __future__ import annotations


class PloverhallError(Exception):
    """Base class of all errors of this package."""


class SettingsError(PloverhallError):
    """A settings or options file is invalid or unreadable; the message names the field or file."""


class InvalidMessageError(PloverhallError):
    """A received message does not have its published form."""

    def __init__(self, field: str = "", problem: str = "") -> None:
        """Create an error about one field of a message or about the whole message.

        `field` is the name on the wire, empty for the whole message; `problem` says what is wrong.
        """
        super().__init__(": ".join(part for part in (field, problem) if part))
        self.field = field
        self.problem = problem


class InvalidJobError(InvalidMessageError):
    """A job submission does not have the published form."""


class InvalidHeartbeatError(InvalidMessageError):
    """An agent's heartbeat does not have the published form."""


class InvalidPeerMessageError(InvalidMessageError):
    """A message from another controller does not have the expected form."""


class InvalidRelayMessageError(InvalidMessageError):
    """A relayed request or response does not have the expected form."""


class InvalidOrderError(InvalidMessageError):
    """A maintenance order does not have the expected form."""


class InvalidHttpError(PloverhallError):
    """Received bytes are not an HTTP message that this package supports."""

    def __init__(self, status: int, reason: str) -> None:
        """Create an error that is answered with the HTTP status `status`."""
        super().__init__(reason)
        self.status = status


class UnreachableError(PloverhallError):
    """No complete response was received, so the request may or may not have been executed."""


class RelayRefusedError(PloverhallError):
    """A peer did not relay a request, so the request was certainly not executed."""


class RequestRefusedError(PloverhallError):
    """The key-value store did not execute a request (outage, or rate limit exceeded)."""


class OutcomeUnknownError(PloverhallError):
    """A request to the key-value store has an unknown outcome.

    There was no response, or the response had an unexpected status or not the published form. A
    write may have been executed or may be executed later; a read says nothing about the stored
    values.
    """
