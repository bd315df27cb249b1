"""Decide when agents whose heartbeats are relayed by a peer should send them directly again.

An agent that is redirected while its link is still cut waits for seconds before it tries another
controller, and no task starts on its machine meanwhile. So the shard's owner first probes the agent
directly (a connection needs both directions) and redirects it only after it has answered. If the
agent's heartbeats are relayed again all the same (a filter may block connections from one side
only), the delay before the next probe doubles. Used by `controller.heartbeat_requests` and
`controller.agent_commands`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

PROBE_INTERVAL_S = 2.0  # minimum time between two probes of one agent
MAX_CONCURRENT_PROBES = 8
# A relayed heartbeat within this time after a redirect means that the agent could not reach this
# controller directly
FAILED_FAILBACK_S = 20.0
INITIAL_BACKOFF_S = 10.0
MAX_BACKOFF_S = 120.0
AGENT_RETENTION_S = 60.0
NEVER = -1e9  # earlier than any time of the steady clock


@dataclass(slots=True)
class RelayedAgent:
    """An agent whose heartbeats come through a peer."""

    via: str  # name of the relaying peer
    last_heartbeat_at: float  # time of the last relayed heartbeat
    next_probe_at: float = NEVER
    probing: bool = False
    failback_due: bool = False  # it answered a probe: answer its next heartbeat by a redirect
    redirected_at: float = NEVER
    backoff_s: float = 0.0

    @property
    def redirected(self) -> bool:
        """Return whether the agent was redirected here and that redirect has not failed."""
        return self.redirected_at > NEVER

    def redirect_failed(self, now: float) -> bool:
        """Return whether a heartbeat relayed now shows that the last redirect failed.

        It does if it comes within `FAILED_FAILBACK_S` of the redirect.
        """
        return (
            self.redirected
            and not self.failback_due
            and now - self.redirected_at < FAILED_FAILBACK_S
        )

    def back_off(self, now: float) -> None:
        """Double the backoff and delay the next probe by it."""
        self.backoff_s = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2 * self.backoff_s))
        self.next_probe_at = now + self.backoff_s
        self.redirected_at = NEVER

    def probe_due(self, now: float) -> bool:
        """Return whether the agent may be probed now."""
        return (
            not self.probing
            and not self.failback_due
            and not self.redirected
            and now >= self.next_probe_at
        )


@dataclass
class HeartbeatFailback:
    """The agents of this controller's shards whose heartbeats are relayed by peers."""

    relayed_agents: dict[str, RelayedAgent] = field(default_factory=dict)  # by machine
    open_probes: int = 0

    def heartbeat_relayed(self, machine: str, via: str, now: float) -> bool:
        """Record a heartbeat relayed by a peer; return whether to answer it by a redirect."""
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
        """Record a heartbeat that the agent sent directly to this controller."""
        agent = self.relayed_agents.get(machine)
        if agent is None:
            return
        # An agent whose redirect has failed before keeps its backoff for a while, because its link
        # may fail again
        if agent.backoff_s == 0.0 or now - agent.redirected_at > FAILED_FAILBACK_S:
            del self.relayed_agents[machine]

    def relay_for(self, machine: str, now: float, max_age_s: float) -> str | None:
        """Return the peer that relays an agent's heartbeats; None if the agent sends them directly.

        None as well if the last relayed heartbeat is at least `max_age_s` seconds old.
        """
        agent = self.relayed_agents.get(machine)
        if agent is None or agent.redirected or now - agent.last_heartbeat_at >= max_age_s:
            return None
        return agent.via

    def due_probes(self, now: float) -> list[str]:
        """Return the machines whose agents should be probed now, and count each as an open probe.

        Also drops agents that have sent no relayed heartbeat for more than `AGENT_RETENTION_S` and
        were not redirected within that time either.
        """
        due = []
        for machine, agent in list(self.relayed_agents.items()):
            if now - max(agent.last_heartbeat_at, agent.redirected_at) > AGENT_RETENTION_S:
                del self.relayed_agents[machine]
            elif self.open_probes < MAX_CONCURRENT_PROBES and agent.probe_due(now):
                agent.probing = True
                agent.next_probe_at = now + PROBE_INTERVAL_S
                self.open_probes += 1
                due.append(machine)
        return due

    def probe_finished(self, machine: str, answered: bool, now: float) -> None:
        """Record the result of a probe, which closes it."""
        self.open_probes -= 1
        agent = self.relayed_agents.get(machine)
        if agent is not None:
            agent.probing = False
            agent.failback_due = answered
