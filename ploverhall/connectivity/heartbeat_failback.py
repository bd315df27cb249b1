"""Workers whose reports come through another member: when are they sent home again?

Sent home while its link is still cut, a worker hangs for 4 s and then waits 1 s more, and nothing starts there meanwhile. So the
owner tries the link itself (a question to the worker; a connection needs both directions), and sends a worker home only when
that was answered. One that comes back all the same (a filter that lets the owner through but not the worker) is tried ever
more seldom.
"""

from __future__ import annotations

from dataclasses import dataclass, field

PROBE_INTERVAL_S = 2.0  # between two questions to one worker
MAX_CONCURRENT_PROBES = 8  # questions open at once
# Sent home, and through another again so soon: it could not reach this controller
FAILED_FAILBACK_S = 20.0
INITIAL_BACKOFF_S = 10.0
MAX_BACKOFF_S = 120.0
FORGET_AGENT_S = 60.0


@dataclass(slots=True)
class RelayedAgent:
    """A worker that reports through another member."""

    via: str
    last_heartbeat_at: float  # its last report that way
    next_probe_at: float = -1e9  # when it may be asked next
    probing: bool = False
    failback_due: bool = False  # it answered: its next report sends it home
    redirected_at: float = -1e9  # when it was sent home
    backoff_s: float = 0.0


@dataclass
class HeartbeatFailback:
    """The workers of this controller's shards that are away."""

    relayed_agents: dict[str, RelayedAgent] = field(default_factory=dict)
    open_probes: int = 0

    def heartbeat_relayed(self, machine: str, via: str, now: float) -> bool:
        """A report came through a member; True when the worker should be sent home with the answer."""
        agent = self.relayed_agents.get(machine)
        if agent is None:
            agent = self.relayed_agents[machine] = RelayedAgent(via, now)
        if (
            agent.redirected_at > -1e9
            and not agent.failback_due
            and now - agent.redirected_at < FAILED_FAILBACK_S
        ):
            agent.backoff_s = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2 * agent.backoff_s))
            agent.next_probe_at = now + agent.backoff_s
            agent.redirected_at = -1000000000.0
        agent.via = via
        agent.last_heartbeat_at = now
        if agent.failback_due:
            agent.failback_due = False
            agent.redirected_at = now
            return True
        return False

    def heartbeat_direct(self, machine: str, now: float) -> None:
        """A worker has reported here itself."""
        agent = self.relayed_agents.get(machine)
        if agent is not None and (
            agent.backoff_s == 0.0 or now - agent.redirected_at > FAILED_FAILBACK_S
        ):
            del self.relayed_agents[machine]

    def relay_for(self, machine: str, now: float, max_age_s: float) -> str | None:
        """Through whom a worker was last heard, if it is away."""
        agent = self.relayed_agents.get(machine)
        return (
            agent.via
            if agent is not None
            and now - agent.last_heartbeat_at < max_age_s
            and agent.redirected_at == -1e9
            else None
        )

    def due_probes(self, now: float) -> list[str]:
        """Workers to be asked now."""
        out = []
        for name, agent in list(self.relayed_agents.items()):
            if now - max(agent.last_heartbeat_at, agent.redirected_at) > FORGET_AGENT_S:
                del self.relayed_agents[name]
            elif (
                self.open_probes < MAX_CONCURRENT_PROBES
                and not agent.probing
                and not agent.failback_due
                and agent.redirected_at == -1e9
                and now >= agent.next_probe_at
            ):
                agent.probing = True
                agent.next_probe_at = now + PROBE_INTERVAL_S
                self.open_probes += 1
                out.append(name)
        return out

    def probe_finished(self, machine: str, answered: bool, now: float) -> None:
        """A worker has answered, or not."""
        self.open_probes -= 1
        agent = self.relayed_agents.get(machine)
        if agent is not None:
            agent.probing = False
            agent.failback_due = answered
