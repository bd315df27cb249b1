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
from ploverhall.coordination.cancellation_barrier import CLOCK_DRIFT
from ploverhall.protocol import agents
from ploverhall.protocol.agents import EXITED, Heartbeat

GRANT_FROM_ANSWER = 0
NO_GRANT = fencing_tokens.RENEWAL_GRANT_MASK
GRANT_STEP_S = 2.0
GRANT_STEPS = NO_GRANT - 1  # before a time of day comes round again: 508 s
RECENT_CONTACT_S = 6.0  # contact that is no older is sure
# No right reaches further, or its time of day could be taken for an earlier one
MAX_GRANT_S = 200.0
MARGIN_S = 1.0  # answers on their way


@dataclass(frozen=True, slots=True)
class RenewalGrants:
    """What a token promises, and what is read from one."""

    cancel_s: float
    lease_s: float
    skew_s: float
    cut_off_s: float = 60.0

    @property
    def informed_renewal_s(self) -> float:
        """For how long after a knowing answer a worker may be answered, for the sake of what may be told meanwhile."""
        return min(
            MAX_GRANT_S,
            self.cut_off_s - RECENT_CONTACT_S,
            self.cancel_s - self.lease_s * CLOCK_DRIFT - MARGIN_S - 2 * self.skew_s,
        )

    def encode(self, contact_age_s: float, max_contact_age_s: float, wall_time: float) -> int:
        """The right that an answer or command carries which leaves now; contact is `age` old, and may grow as old as `fence`."""
        remaining_s = min(max_contact_age_s - contact_age_s, self.informed_renewal_s)
        if remaining_s <= 0.0:
            return NO_GRANT
        if contact_age_s <= RECENT_CONTACT_S:
            return (
                GRANT_FROM_ANSWER
                if max_contact_age_s - RECENT_CONTACT_S >= self.informed_renewal_s
                else NO_GRANT
            )
        return 1 + int((wall_time + remaining_s) // GRANT_STEP_S) % GRANT_STEPS

    def remaining_s(self, grant: int, wall_time: float) -> float:
        """For how long a worker that reports now may be answered; it was last answered a lease ago at the most."""
        if grant == NO_GRANT:
            return 0.0
        if grant == GRANT_FROM_ANSWER:
            return self.informed_renewal_s - self.lease_s * CLOCK_DRIFT - MARGIN_S
        step = wall_time / GRANT_STEP_S
        # Steps until that time of day comes, or comes again
        ahead = (grant - 1 - step) % GRANT_STEPS
        return (
            ahead if ahead <= GRANT_STEPS / 2 else ahead - GRANT_STEPS
        ) * GRANT_STEP_S - 2 * self.skew_s

    def answer_heartbeat(
        self,
        heartbeat: Heartbeat,
        controller_index: int,
        newest_epoch: int,
        ended_jobs: Container[str],
        wall_time: float,
    ) -> dict[str, Any] | None:
        """What this life answers a worker that bears a token of its earlier one; None where it may not answer.

        `me`: this controller's index; `newest`: the epoch of the worker's part as far as anybody here knows; `over`: which jobs
        among its tasks are known to be over. Nothing is kept between two reports: the token says all.
        """
        if (
            fencing_tokens.holder_of(heartbeat.token) != controller_index
            or fencing_tokens.epoch_of(heartbeat.token) < newest_epoch
        ):
            return None
        grant = fencing_tokens.renewal_grant_of(heartbeat.token)
        remaining_s = self.remaining_s(grant, wall_time)
        if remaining_s <= 0.0:
            return None
        # counted from this report on, what was sure becomes a time of day: a third life must not count from its own first report
        token = (
            fencing_tokens.with_renewal_grant(
                heartbeat.token, 1 + int((wall_time + remaining_s) // GRANT_STEP_S) % GRANT_STEPS
            )
            if grant == GRANT_FROM_ANSWER
            else heartbeat.token
        )
        if token is None:
            return None
        commands = [
            agents.kill_command(key, 0.0)
            for key, task in heartbeat.tasks().items()
            if task.state != EXITED and key[0] in ended_jobs
        ]
        return agents.heartbeat_answer(token, commands)
