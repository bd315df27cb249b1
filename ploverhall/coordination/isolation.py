"""A controller that has lost the state service and every other controller, but not its workers: are they better off elsewhere?

It may go on answering them for `cut_off_s` (`cancellations`), and whoever has claimed its part meanwhile could serve them in full:
start, stop, hear what has ended. But in a zone that is cut off nobody else can be reached, and a worker that tries two silent
controllers is back after 11 s, which is longer than some leases. So a few scouts are sent first, to the controller after which
workers try this one again: they are back within 6 s. If none of them comes back, somebody answers them, and the others follow with
their next reports. One that comes back with this controller's token has found nobody: all stay, and scouts go again ever later, to
each of the others in turn where their leases last for that, or where they have nothing to lose.

Sending a worker on gives nobody a right: it is what a crashed controller does to all of them. Whoever answers it has a token of its
own, and what this controller has granted is fenced by that (docs/design.md, *Alone with its workers*).

No I/O. Times are this process's steady clock, seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# A worker waits so long for an answer, and then so long before it tries the next controller
AGENT_TIMEOUT_S = 4.0
AGENT_RETRY_PAUSE_S = 1.0
# One that is busy loses its tasks if this controller ends just then
IDLE_SCOUTS = 3
BUSY_SCOUTS = 1
INITIAL_ROUND_INTERVAL_S = 15.0
MAX_ROUND_INTERVAL_S = 60.0


@dataclass(slots=True)
class IsolatedRedirects:
    """The scouts of one spell of being alone."""

    # The other controllers; the one after which a worker tries this one comes first, then the one
    # before that
    candidates: list[str]
    heartbeat_interval_s: float
    lease_s: float
    isolated_since: float | None = None
    scouts: dict[str, float] = field(default_factory=dict)  # scouts, and when each was sent
    candidate_index: int = 0  # where the scouts are sent
    next_round_at: float = 0.0
    round_interval_s: float = INITIAL_ROUND_INTERVAL_S
    scouts_served_elsewhere: bool = False  # scouts have stayed away: somebody answers them

    @property
    def scout_return_s(self) -> float:
        """A scout that nobody answers has reported here again after this."""
        return 0.5 + (self.candidate_index + 1) * (AGENT_TIMEOUT_S + AGENT_RETRY_PAUSE_S) + 1.0

    def update(self, isolated: bool, now: float) -> None:
        """Whether this controller reaches nobody but its workers."""
        if not isolated:
            if self.isolated_since is not None:
                (
                    self.isolated_since,
                    self.scouts_served_elsewhere,
                    self.candidate_index,
                    self.next_round_at,
                    self.round_interval_s,
                ) = (
                    None,
                    False,
                    0,
                    0.0,
                    INITIAL_ROUND_INTERVAL_S,
                )
                self.scouts.clear()
        elif self.isolated_since is None:
            self.isolated_since = now

    def redirect_target(
        self, machine: str, last_answer_age_s: float | None, now: float
    ) -> str | None:
        """A worker has come: to whom it is sent instead of being answered.

        `answered_s`: how long ago it was last answered here; None where nothing on it can be lost.
        """
        if self.isolated_since is None or not self.candidates:
            return None
        if self.scouts_served_elsewhere:
            return self.candidates[self.candidate_index]
        if machine in self.scouts:  # nobody has answered it
            self.scouts.clear()
            self.next_round_at, self.round_interval_s = (
                now + self.round_interval_s,
                min(MAX_ROUND_INTERVAL_S, 2.0 * self.round_interval_s),
            )
            self.candidate_index = (self.candidate_index + 1) % len(self.candidates)
            return None
        if self.scouts and now - max(self.scouts.values()) > self.scout_return_s:
            self.scouts_served_elsewhere = True
            return self.candidates[self.candidate_index]
        round_open = not self.scouts or now - min(self.scouts.values()) < self.heartbeat_interval_s
        if (
            now >= self.next_round_at
            and round_open
            and len(self.scouts) < (IDLE_SCOUTS if last_answer_age_s is None else BUSY_SCOUTS)
        ):
            if last_answer_age_s is None or last_answer_age_s + self.scout_return_s < self.lease_s:
                self.scouts[machine] = now
                return self.candidates[self.candidate_index]
        return None
