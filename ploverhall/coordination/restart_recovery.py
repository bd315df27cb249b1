"""A controller that ends inside a zone that is cut off, or in an outage, and is back: what it may do without the state service.

Its new life holds nothing and can read nothing, but its workers come to it, and unless somebody answers them their leases run out:
1,011 tasks were killed in a zone in which nothing was wrong (kazi-bodi-fleet zone, back in 0.3 s). A worker accepts an equal token
from any node, so the new life may *renew leases* with its earlier life's tokens. It gives no commands but to stop what it knows to
be over, and places nothing. Why that breaks no rule:

- *ran_twice.* Whoever else proves a start gone by silence must have given the worker its own, higher token (proof 3), and such a
  worker drops these answers. The earlier life itself is over; one that only stood still forgets, when it wakes, that its workers
  took its token, until they report to it again (`Owner.stood_still`).
- *ran_cancelled.* A user may be told of a cancellation that this life knows nothing of. Let `a` be when the worker was last answered
  by a life that knew. What that life had read by then, it has stopped with that answer. What it read later was told later than
  `a`: the worker must be gone by `a + cancel_s`, so be answered no later than `cancel_s - lease_s` after `a`. What it never knew is
  told `Cancellations.patience` after it was last owed anything, which allows for answers until `fence` after its last contact, or at
  once when this life has been named it, and stops it with its answers. The earlier of the two is the worker's *right*, and every token
  says it: 0 stands for "cancel_s - lease_s from the answer on" while contact is sure, 255 for none, anything else for a time of day in
  steps of two seconds. A life that knows nothing hands the right on as it found it.

No I/O. Times are seconds; `wall` is the time of day, which the platform keeps within a bound.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass
from typing import Any

from ploverhall.coordination import fencing_tokens
from ploverhall.coordination.cancellation_barrier import DRIFT
from ploverhall.protocol import agents
from ploverhall.protocol.agents import EXITED, Report

SURE, NONE = 0, fencing_tokens.RIGHT
STEP_S = 2.0
STEPS = NONE - 1  # before a time of day comes round again: 508 s
SURE_S = 6.0  # contact that is no older is sure
MOST_S = 200.0  # no right reaches further, or its time of day could be taken for an earlier one
MARGIN_S = 1.0  # answers on their way


@dataclass(frozen=True, slots=True)
class Rights:
    """What a token promises, and what is read from one."""

    cancel_s: float
    lease_s: float
    skew_s: float
    cut_off_s: float = 60.0

    @property
    def known_s(self) -> float:
        """For how long after a knowing answer a worker may be answered, for the sake of what may be told meanwhile."""
        return min(
            MOST_S,
            self.cut_off_s - SURE_S,
            self.cancel_s - self.lease_s * DRIFT - MARGIN_S - 2 * self.skew_s,
        )

    def given(self, age: float, fence: float, wall: float) -> int:
        """The right that an answer or command carries which leaves now; contact is `age` old, and may grow as old as `fence`."""
        left = min(fence - age, self.known_s)
        if left <= 0.0:
            return NONE
        if age <= SURE_S:
            return SURE if fence - SURE_S >= self.known_s else NONE
        return 1 + int((wall + left) // STEP_S) % STEPS

    def left(self, right: int, wall: float) -> float:
        """For how long a worker that reports now may be answered; it was last answered a lease ago at the most."""
        if right == NONE:
            return 0.0
        if right == SURE:
            return self.known_s - self.lease_s * DRIFT - MARGIN_S
        step = wall / STEP_S
        ahead = (right - 1 - step) % STEPS  # steps until that time of day comes, or comes again
        return (ahead if ahead <= STEPS / 2 else ahead - STEPS) * STEP_S - 2 * self.skew_s

    def answer(
        self, r: Report, me: int, newest: int, over: Container[str], wall: float
    ) -> dict[str, Any] | None:
        """What this life answers a worker that bears a token of its earlier one; None where it may not answer.

        `me`: this controller's index; `newest`: the epoch of the worker's part as far as anybody here knows; `over`: which jobs
        among its tasks are known to be over. Nothing is kept between two reports: the token says all.
        """
        if fencing_tokens.holder_of(r.token) != me or fencing_tokens.epoch_of(r.token) < newest:
            return None
        right = fencing_tokens.right_of(r.token)
        left = self.left(right, wall)
        if left <= 0.0:
            return None
        # counted from this report on, what was sure becomes a time of day: a third life must not count from its own first report
        token = (
            fencing_tokens.marked(r.token, 1 + int((wall + left) // STEP_S) % STEPS)
            if right == SURE
            else r.token
        )
        if token is None:
            return None
        calls = [
            agents.kill(key, 0.0)
            for key, t in r.tasks().items()
            if t.state != EXITED and key[0] in over
        ]
        return agents.answer(token, calls)
