"""One line per event on standard error: level, what, then key=value pairs, so a job's id can be followed."""

from __future__ import annotations

import os
import sys
from typing import Any

LEVELS = {"error": 0, "info": 1, "debug": 2}
_level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), 1)


def _emit(level: str, what: str, fields: dict[str, Any]) -> None:
    pairs = " ".join(f"{key}={_printable(value)}" for key, value in fields.items())
    sys.stderr.write(f"{level} {what} {pairs}\n" if pairs else f"{level} {what}\n")
    sys.stderr.flush()


def _printable(value: Any) -> str:
    """As it is shown: a class or machine may be called anything, and a line break in a name must not forge a line."""
    text = str(value)
    return text if text.isprintable() else text.encode("unicode_escape").decode()


def error(what: str, **fields: Any) -> None:
    """Something a person should look at."""
    _emit("error", what, fields)


def warn(what: str, **fields: Any) -> None:
    """A trouble that began or ended: shown at every level, for it may need a person."""
    _emit("warning", what, fields)


def info(what: str, **fields: Any) -> None:
    """Something that changed."""
    if _level >= 1:
        _emit("info", what, fields)


def debug(what: str, **fields: Any) -> None:
    """What was decided on the way."""
    if _level >= 2:
        _emit("debug", what, fields)


def raised_at(error: BaseException) -> str:
    """The place in the sources where an exception was raised."""
    traceback = error.__traceback__
    out = "?"
    while traceback is not None:
        out = f"{traceback.tb_frame.f_code.co_filename.rsplit('/', 1)[-1]}:{traceback.tb_lineno}"
        traceback = traceback.tb_next
    return out
