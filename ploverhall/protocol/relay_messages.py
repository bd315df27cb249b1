"""What controllers carry for one another: questions in, answers out, in the form of boards' messages.

A release that does not know these words takes them for boards of nobody; and is never asked, since it does not say that it
can carry. What is carried is JSON as bytes: its size is known, and nothing is taken apart on the way.
"""

from __future__ import annotations

from typing import Any, NamedTuple

QUESTION, ANSWER, WORD = "x", "y", "h"
STATE, CLOUD, REPORT, DO = "state", "cloud", "report", "do"
KINDS = (STATE, CLOUD, REPORT, DO)
MOST_BODY = (
    4 * 1024 * 1024
)  # bytes of one question or answer: a watch answers with all changes since it was last asked
TARGETS = {
    STATE: ("/kv", "/multi", "/grants", "/watch"),
    CLOUD: ("/flavors", "/hosts"),
    DO: ("/do", "/show"),
}


class Malformed(Exception):
    """A message that is not in this form."""


class Question(NamedTuple):
    """Something to be done for the member that asks."""

    life: str
    number: int
    what: str
    until: float  # time of day after which nobody waits for the answer
    hops: int  # how many members it may still go through, this one included
    to: str  # the member that it is meant for, or nothing: whoever reaches the service
    method: str
    target: str  # of a request; the worker's address before it, with a space between, for `do`
    hold: float  # seconds for which the service may keep the answer back
    body: bytes


class Answer(NamedTuple):
    """What came of it: a status and a body, or why there is none."""

    life: str
    number: int
    status: int  # 0: there is none
    refused: bool  # without a status: surely not executed; else that is not known
    body: bytes


def pack(kind: str, me: int, value: Question | Answer) -> list[Any]:
    """A message for a link."""
    return [kind, me, 0, 0, True, value._asdict(), value.number]


def question(value: Any) -> Question:
    """Check a question. Raises Malformed, naming the field."""
    q = Question(
        *_read(
            Question._fields,
            value,
            {"number": int, "until": float, "hops": int, "hold": float, "body": bytes},
        )
    )
    if q.what not in KINDS:
        raise Malformed("what")
    if q.what in TARGETS:
        path = q.target.rpartition(" ")[2] if q.what == DO else q.target
        if not path.startswith(TARGETS[q.what]) or q.method not in ("GET", "POST", "DELETE"):
            raise Malformed("target")
    if not 0 <= q.hold <= 60 or not 0 <= q.hops <= 4:
        raise Malformed("hold")
    return q


def answer(value: Any) -> Answer:
    """Check an answer. Raises Malformed, naming the field."""
    return Answer(
        *_read(
            Answer._fields, value, {"number": int, "status": int, "refused": bool, "body": bytes}
        )
    )


def _read(names: tuple[str, ...], value: Any, types: dict[str, type]) -> list[Any]:
    if not isinstance(value, dict):
        raise Malformed("not a table")
    fields: list[Any] = []
    for name in names:
        v, want = value.get(name), types.get(name, str)
        if want is float and isinstance(v, int):
            v = float(v)
        if type(v) is not want or (isinstance(v, (str, bytes)) and len(v) > MOST_BODY):
            raise Malformed(name)
        fields.append(v)
    return fields
