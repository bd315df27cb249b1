"""Writes the log to standard error, one line per event, as `level event key=value ...`.

The environment variable `LOG_LEVEL` (`error`, `info` or `debug`) selects the events that are
written. docs/operations.md explains the events; scripts parse them.
"""

from __future__ import annotations

import os
import sys
from typing import Any

LEVELS = {"error": 0, "info": 1, "debug": 2}
_level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), 1)


def _emit(level: str, event: str, fields: dict[str, Any]) -> None:
    pairs = " ".join(f"{key}={_printable(value)}" for key, value in fields.items())
    sys.stderr.write(f"{level} {event} {pairs}\n" if pairs else f"{level} {event}\n")
    sys.stderr.flush()


def _printable(value: Any) -> str:
    """Return a value as text, with line breaks and other unprintable characters escaped.

    Job classes and machines may have any name. Without escaping, a name that contains a line break
    could forge a line of the log.
    """
    text = str(value)
    return text if text.isprintable() else text.encode("unicode_escape").decode()


def error(event: str, **fields: Any) -> None:
    """Log an event that an operator should look at; written at every level."""
    _emit("error", event, fields)


def warn(event: str, **fields: Any) -> None:
    """Log a condition that was raised or cleared; written at every level."""
    _emit("warning", event, fields)


def info(event: str, **fields: Any) -> None:
    """Log a state change; not written at level `error`."""
    if _level >= 1:
        _emit("info", event, fields)


def debug(event: str, **fields: Any) -> None:
    """Log a decision; written at level `debug` only."""
    if _level >= 2:
        _emit("debug", event, fields)


def raised_at(error: BaseException) -> str:
    """Return where an exception was raised, as `file:line`; `?` if it has no traceback."""
    traceback = error.__traceback__
    place = "?"
    while traceback is not None:
        place = f"{traceback.tb_frame.f_code.co_filename.rsplit('/', 1)[-1]}:{traceback.tb_lineno}"
        traceback = traceback.tb_next
    return place
