"""Redirects the agents of an isolated controller, one that reaches neither the store nor a peer.

It may go on answering its agents for `cut_off_s`, but whoever has claimed its shard could serve
them in full. So a few agents (scouts) are redirected first. If none of them comes back, somebody
serves them, and the others follow; if one does, all stay, and another round begins later.
`controller.cancellation_state` updates this state, and `controller.heartbeat_requests` asks for
targets. docs/design.md, "Isolation", has the reasons. No I/O; times are seconds of the process's
steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# An agent waits so long for an answer, and then so long before it tries the next controller
AGENT_TIMEOUT_S = 4.0
AGENT_RETRY_PAUSE_S = 1.0
IDLE_SCOUTS = 3  # in a round
BUSY_SCOUTS = 1  # a busy scout loses its tasks if this controller ends just then
SCOUT_RETURN_MARGIN_S = 1.5  # for messages on their way and for heartbeats that come late
INITIAL_ROUND_INTERVAL_S = 15.0
MAX_ROUND_INTERVAL_S = 60.0


@dataclass(slots=True)
class IsolatedRedirects:
    """The scouts of one period of isolation."""

    # The other controllers; the one after which an agent tries this one comes first, then the one
    # before that
    candidates: list[str]
    heartbeat_interval_s: float
    lease_s: float
    isolated_since: float | None = None
    scouts: dict[str, float] = field(default_factory=dict)  # scouts, and when each was sent
    candidate_index: int = 0  # of the controller that the scouts are redirected to
    next_round_at: float = 0.0
    round_interval_s: float = INITIAL_ROUND_INTERVAL_S
    scouts_served_elsewhere: bool = False  # scouts have stayed away: somebody serves them

    @property
    def scout_return_s(self) -> float:
        """Seconds after which a scout that nobody answers has sent a heartbeat here again."""
        return (self.candidate_index + 1) * (
            AGENT_TIMEOUT_S + AGENT_RETRY_PAUSE_S
        ) + SCOUT_RETURN_MARGIN_S

    def update(self, isolated: bool, now: float) -> None:
        """Note whether this controller reaches nobody but its agents."""
        if isolated:
            if self.isolated_since is None:
                self.isolated_since = now
        elif self.isolated_since is not None:
            self.isolated_since = None
            self.scouts_served_elsewhere = False
            self.candidate_index = 0
            self.next_round_at = 0.0
            self.round_interval_s = INITIAL_ROUND_INTERVAL_S
            self.scouts.clear()

    def redirect_target(
        self, machine: str, last_answer_age_s: float | None, now: float
    ) -> str | None:
        """Return the controller that an agent is redirected to now; None: it is answered here.

        `last_answer_age_s`: how long ago it was last answered here; None where it runs nothing that
        could be lost.
        """
        if self.isolated_since is None or not self.candidates:
            return None
        if self.scouts_served_elsewhere:
            return self.candidates[self.candidate_index]
        if machine in self.scouts:
            self._end_round(now)
            return None
        if self.scouts and now - max(self.scouts.values()) > self.scout_return_s:
            self.scouts_served_elsewhere = True
            return self.candidates[self.candidate_index]
        if not self._may_scout(last_answer_age_s, now):
            return None
        self.scouts[machine] = now
        return self.candidates[self.candidate_index]

    def _end_round(self, now: float) -> None:
        """Plan the next round, with the next controller: a scout is back, so nobody answered it."""
        self.scouts.clear()
        self.next_round_at = now + self.round_interval_s
        self.round_interval_s = min(MAX_ROUND_INTERVAL_S, 2.0 * self.round_interval_s)
        self.candidate_index = (self.candidate_index + 1) % len(self.candidates)

    def _may_scout(self, last_answer_age_s: float | None, now: float) -> bool:
        """Return whether the round takes one more scout, and this one's lease lasts for the way."""
        if now < self.next_round_at:
            return False
        if self.scouts and now - min(self.scouts.values()) >= self.heartbeat_interval_s:
            return False
        if last_answer_age_s is None:
            return len(self.scouts) < IDLE_SCOUTS
        lease_lasts = last_answer_age_s + self.scout_return_s < self.lease_s
        return len(self.scouts) < BUSY_SCOUTS and lease_lasts
