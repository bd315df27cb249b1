"""Agents whose heartbeats come through a peer: when they are told to send them here directly again.

An agent that is redirected while its link is still cut waits for seconds until it turns elsewhere,
and nothing starts on its machine meanwhile. So the shard's owner first probes the agent directly (a
connection needs both directions), and redirects it only once it has answered. An agent that comes
back through a peer all the same (a filter that blocks one side's connections only) is probed ever
more seldom. Used by `controller.heartbeat_requests` and `controller.agent_commands`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

PROBE_INTERVAL_S = 2.0  # between two probes of one agent
MAX_CONCURRENT_PROBES = 8
# An agent that comes through a peer so soon after a redirect could not reach this controller
FAILED_FAILBACK_S = 20.0
INITIAL_BACKOFF_S = 10.0
MAX_BACKOFF_S = 120.0
FORGET_AGENT_S = 60.0
NEVER = -1e9  # before any time of the clock


@dataclass(slots=True)
class RelayedAgent:
    """An agent whose heartbeats come through a peer."""

    via: str  # name of the peer
    last_heartbeat_at: float  # of the last relayed one
    next_probe_at: float = NEVER
    probing: bool = False
    failback_due: bool = False  # it answered a probe: its next heartbeat is answered by a redirect
    redirected_at: float = NEVER
    backoff_s: float = 0.0

    @property
    def redirected(self) -> bool:
        """Whether it was told to come directly, and has not come through a peer soon after."""
        return self.redirected_at > NEVER

    def redirect_failed(self, now: float) -> bool:
        """Return whether a relayed heartbeat now means that it could not come directly."""
        return (
            self.redirected
            and not self.failback_due
            and now - self.redirected_at < FAILED_FAILBACK_S
        )

    def back_off(self, now: float) -> None:
        """Delay the next probe, twice as long as the last time."""
        self.backoff_s = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2 * self.backoff_s))
        self.next_probe_at = now + self.backoff_s
        self.redirected_at = NEVER

    def probe_due(self, now: float) -> bool:
        """Return whether it may be probed now."""
        return (
            not self.probing
            and not self.failback_due
            and not self.redirected
            and now >= self.next_probe_at
        )


@dataclass
class HeartbeatFailback:
    """The agents of this controller's shards whose heartbeats come through peers."""

    relayed_agents: dict[str, RelayedAgent] = field(default_factory=dict)  # by machine
    open_probes: int = 0

    def heartbeat_relayed(self, machine: str, via: str, now: float) -> bool:
        """Record a heartbeat through a peer; return whether to answer it by a redirect."""
        agent = self.relayed_agents.get(machine)
        if agent is None:
            agent = self.relayed_agents[machine] = RelayedAgent(via, now)
        if agent.redirect_failed(now):
            agent.back_off(now)
        agent.via = via
        agent.last_heartbeat_at = now
        if agent.failback_due:
            agent.failback_due = False
            agent.redirected_at = now
            return True
        return False

    def heartbeat_direct(self, machine: str, now: float) -> None:
        """Record a heartbeat that came directly."""
        agent = self.relayed_agents.get(machine)
        if agent is None:
            return
        # An agent that has failed before is remembered for a while: it may be about to fail again
        if agent.backoff_s == 0.0 or now - agent.redirected_at > FAILED_FAILBACK_S:
            del self.relayed_agents[machine]

    def relay_for(self, machine: str, now: float, max_age_s: float) -> str | None:
        """Return the peer through which an agent's heartbeats come, None if they come directly.

        A heartbeat that is older than `max_age_s` seconds does not count.
        """
        agent = self.relayed_agents.get(machine)
        if agent is None or agent.redirected or now - agent.last_heartbeat_at >= max_age_s:
            return None
        return agent.via

    def due_probes(self, now: float) -> list[str]:
        """Return the machines whose agents are to be probed now; each counts as an open probe."""
        due = []
        for machine, agent in list(self.relayed_agents.items()):
            if now - max(agent.last_heartbeat_at, agent.redirected_at) > FORGET_AGENT_S:
                del self.relayed_agents[machine]
            elif self.open_probes < MAX_CONCURRENT_PROBES and agent.probe_due(now):
                agent.probing = True
                agent.next_probe_at = now + PROBE_INTERVAL_S
                self.open_probes += 1
                due.append(machine)
        return due

    def probe_finished(self, machine: str, answered: bool, now: float) -> None:
        """Record the result of a probe."""
        self.open_probes -= 1
        agent = self.relayed_agents.get(machine)
        if agent is not None:
            agent.probing = False
            agent.failback_due = answered
