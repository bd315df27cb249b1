"""Redirect the agents of an isolated controller, one that reaches neither the store nor a peer.

An isolated controller may go on answering its agents for `cut_off_s`, but a controller that has
claimed its shard could serve them in full. So a few agents (canaries) are redirected first. If none
of them comes back, another controller serves them, and the other agents are redirected too. If one
comes back, all other agents stay, and another round begins later. `controller.cancellation_state`
updates this state, and `controller.heartbeat_requests` asks for targets. docs/design.md,
"Isolation", explains the design. No I/O; times are seconds of the process's steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

AGENT_TIMEOUT_S = 4.0  # time for which an agent waits for an answer
AGENT_RETRY_PAUSE_S = 1.0  # pause after a timeout before the agent tries the next controller
MAX_IDLE_CANARIES = 3  # per round
MAX_BUSY_CANARIES = 1  # per round; it loses its tasks if this controller ends meanwhile
CANARY_RETURN_MARGIN_S = 1.5  # for messages in flight and for late heartbeats
INITIAL_ROUND_INTERVAL_S = 15.0
MAX_ROUND_INTERVAL_S = 60.0


@dataclass(slots=True)
class IsolatedRedirects:
    """The agents redirected during one period of isolation, and the plan of the next round."""

    # The other controllers, in the reverse of the order in which agents try them: first the one
    # after which an agent tries this controller
    candidates: list[str]
    heartbeat_interval_s: float
    lease_s: float
    isolated_since: float | None = None
    canaries: dict[str, float] = field(default_factory=dict)  # by machine: time of the redirect
    candidate_index: int = 0  # index of the redirect target
    next_round_at: float = 0.0
    round_interval_s: float = INITIAL_ROUND_INTERVAL_S
    canaries_served_elsewhere: bool = False  # none came back: another controller serves them

    @property
    def canary_return_s(self) -> float:
        """Return the seconds until a canary that nobody answers has sent a heartbeat here again."""
        return (self.candidate_index + 1) * (
            AGENT_TIMEOUT_S + AGENT_RETRY_PAUSE_S
        ) + CANARY_RETURN_MARGIN_S

    def update(self, isolated: bool, now: float) -> None:
        """Record whether this controller is isolated; the end of isolation resets the rounds."""
        if isolated:
            if self.isolated_since is None:
                self.isolated_since = now
        elif self.isolated_since is not None:
            self.isolated_since = None
            self.canaries_served_elsewhere = False
            self.candidate_index = 0
            self.next_round_at = 0.0
            self.round_interval_s = INITIAL_ROUND_INTERVAL_S
            self.canaries.clear()

    def redirect_target(
        self, machine: str, last_answer_age_s: float | None, now: float
    ) -> str | None:
        """Return the controller to redirect an agent to now; None if it is to be answered here.

        `last_answer_age_s` is the time since the agent was last answered here, in seconds; None if
        the agent runs no tasks that could be lost.
        """
        if self.isolated_since is None or not self.candidates:
            return None
        if self.canaries_served_elsewhere:
            return self.candidates[self.candidate_index]
        if machine in self.canaries:
            self._end_round(now)
            return None
        if self.canaries and now - max(self.canaries.values()) > self.canary_return_s:
            self.canaries_served_elsewhere = True
            return self.candidates[self.candidate_index]
        if not self._may_redirect_canary(last_answer_age_s, now):
            return None
        self.canaries[machine] = now
        return self.candidates[self.candidate_index]

    def _end_round(self, now: float) -> None:
        """End the round because a canary came back, and plan the next one.

        The canary was not answered, so the next round tries the next controller.
        """
        self.canaries.clear()
        self.next_round_at = now + self.round_interval_s
        self.round_interval_s = min(MAX_ROUND_INTERVAL_S, 2.0 * self.round_interval_s)
        self.candidate_index = (self.candidate_index + 1) % len(self.candidates)

    def _may_redirect_canary(self, last_answer_age_s: float | None, now: float) -> bool:
        """Return whether the agent may be redirected as one more canary of this round.

        An agent that runs tasks is redirected only if its lease lasts until it would be back here.
        """
        if now < self.next_round_at:
            return False
        if self.canaries and now - min(self.canaries.values()) >= self.heartbeat_interval_s:
            return False
        if last_answer_age_s is None:
            return len(self.canaries) < MAX_IDLE_CANARIES
        lease_lasts = last_answer_age_s + self.canary_return_s < self.lease_s
        return len(self.canaries) < MAX_BUSY_CANARIES and lease_lasts
