"""Let a restarted controller that can't read the store renew its agents' leases.

Its new incarnation holds no shard yet, but its agents send heartbeats, and their leases expire
unless a controller answers. An agent accepts an equal token from any controller, so the new
incarnation may answer with its predecessor's tokens for as long as the renewal grant in the token
allows. It issues no commands except to stop tasks of jobs that it knows to have ended, and it
places no tasks. `controller.heartbeat_requests` asks for answers, `controller.cancellation_state`
for grants. docs/design.md, "Restart recovery", shows why this is safe. No I/O; times are seconds,
and the platform keeps the skew of wall clocks within a bound.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass
from typing import Any

from ploverhall.coordination import fencing_tokens
from ploverhall.coordination.cancellation_barrier import CLOCK_DRIFT
from ploverhall.protocol import agents
from ploverhall.protocol.agents import EXITED, Heartbeat

# Special values of the grant field; any other value encodes a wall-clock time
GRANT_FROM_ANSWER = 0  # the grant lasts `informed_renewal_s` from the answer on
NO_GRANT = fencing_tokens.RENEWAL_GRANT_MASK
GRANT_STEP_S = 2.0
GRANT_STEPS = NO_GRANT - 1  # encoded wall-clock times repeat after this many steps, 508 s
RECENT_CONTACT_S = 6.0  # contact with store and peers up to this age counts as current
# Maximum length of a grant; the wall-clock time of a longer one could be decoded as an earlier one
MAX_GRANT_S = 200.0
MARGIN_S = 1.0  # for answers in flight


@dataclass(frozen=True, slots=True)
class RenewalGrants:
    """Encoder and decoder of renewal grants, which also answers heartbeats by them."""

    cancel_s: float
    lease_s: float
    skew_s: float
    cut_off_s: float = 60.0

    @property
    def informed_renewal_s(self) -> float:
        """Return for how many seconds after an informed controller's answer agents may be answered.

        The limit follows from the cancellations that users may be told of in that time.
        """
        return min(
            MAX_GRANT_S,
            self.cut_off_s - RECENT_CONTACT_S,
            self.cancel_s - self.lease_s * CLOCK_DRIFT - MARGIN_S - 2 * self.skew_s,
        )

    def encode(self, contact_age_s: float, max_contact_age_s: float, wall_time: float) -> int:
        """Return the grant for an answer or command that is sent now.

        `contact_age_s` is the age of the last contact (`CancellationBarrier.last_contact`), and
        `max_contact_age_s` is the age at which this controller stops answering agents.
        """
        remaining_s = min(max_contact_age_s - contact_age_s, self.informed_renewal_s)
        if remaining_s <= 0.0:
            return NO_GRANT
        if contact_age_s <= RECENT_CONTACT_S:
            return (
                GRANT_FROM_ANSWER
                if max_contact_age_s - RECENT_CONTACT_S >= self.informed_renewal_s
                else NO_GRANT
            )
        return _encode_wall_time(wall_time + remaining_s)

    def remaining_s(self, grant: int, wall_time: float) -> float:
        """Return the seconds for which an agent may be answered from its current heartbeat on.

        Assumes that the agent was last answered at most one lease ago. Zero or less means that it
        may not be answered.
        """
        if grant == NO_GRANT:
            return 0.0
        if grant == GRANT_FROM_ANSWER:
            return self.informed_renewal_s - self.lease_s * CLOCK_DRIFT - MARGIN_S
        step = wall_time / GRANT_STEP_S
        # Steps until the encoded time, or until the next time with the same encoding
        steps_ahead = (grant - 1 - step) % GRANT_STEPS
        if steps_ahead > GRANT_STEPS / 2:
            steps_ahead -= GRANT_STEPS
        return steps_ahead * GRANT_STEP_S - 2 * self.skew_s

    def answer_heartbeat(
        self,
        heartbeat: Heartbeat,
        controller_index: int,
        newest_epoch: int,
        ended_jobs: Container[str],
        wall_time: float,
    ) -> dict[str, Any] | None:
        """Return the answer to an agent with a token of an earlier incarnation of this controller.

        None if the agent may not be answered. `newest_epoch` is the newest known epoch of the
        machine's shard; `ended_jobs` are the jobs among its tasks that are known to have ended. No
        state is kept between two heartbeats, since the token holds all that is needed.
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
        token: int | None = heartbeat.token
        if grant == GRANT_FROM_ANSWER:
            # Encode a wall-clock time, since the next incarnation would count the same grant anew
            # from its own first heartbeat
            token = fencing_tokens.with_renewal_grant(
                heartbeat.token, _encode_wall_time(wall_time + remaining_s)
            )
        if token is None:
            return None
        commands = [
            agents.kill_command(attempt_id, 0.0)
            for attempt_id, task in heartbeat.tasks().items()
            if task.state != EXITED and attempt_id.job_id in ended_jobs
        ]
        return agents.heartbeat_answer(token, commands)


def _encode_wall_time(wall_time: float) -> int:
    """Return the grant that ends at a wall-clock time, rounded down to `GRANT_STEP_S`."""
    return 1 + int(wall_time // GRANT_STEP_S) % GRANT_STEPS
