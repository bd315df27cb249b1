"""Workers whose reports come through another member: when are they sent home again?

Sent home while its link is still cut, a worker hangs for 4 s and then waits 1 s more, and nothing starts there meanwhile. So the
owner tries the link itself (a question to the worker; a connection needs both directions), and sends a worker home only when
that was answered. One that comes back all the same (a filter that lets the owner through but not the worker) is tried ever
more seldom.
"""

from __future__ import annotations

from dataclasses import dataclass, field

PROBE_S = 2.0  # between two questions to one worker
PROBES = 8  # questions open at once
AGAIN_S = 20.0  # sent home, and through another again so soon: it could not reach this controller
PAUSE_S, MOST_PAUSE_S = 10.0, 120.0
FORGET_S = 60.0


@dataclass(slots=True)
class Away:
    """A worker that reports through another member."""

    via: str
    seen: float  # its last report that way
    probe: float = -1e9  # when it may be asked next
    asking: bool = False
    home: bool = False  # it answered: its next report sends it home
    sent: float = -1e9  # when it was sent home
    pause: float = 0.0


@dataclass
class Homing:
    """The workers of this controller's shards that are away."""

    away: dict[str, Away] = field(default_factory=dict)
    asking: int = 0

    def carried(self, machine: str, via: str, now: float) -> bool:
        """A report came through a member; True when the worker should be sent home with the answer."""
        a = self.away.get(machine)
        if a is None:
            a = self.away[machine] = Away(via, now)
        if a.sent > -1e9 and not a.home and now - a.sent < AGAIN_S:
            a.pause = min(MOST_PAUSE_S, max(PAUSE_S, 2 * a.pause))
            a.probe, a.sent = now + a.pause, -1e9
        a.via, a.seen = via, now
        if a.home:
            a.home, a.sent = False, now
            return True
        return False

    def direct(self, machine: str, now: float) -> None:
        """A worker has reported here itself."""
        a = self.away.get(machine)
        if a is not None and (a.pause == 0.0 or now - a.sent > AGAIN_S):
            del self.away[machine]

    def via(self, machine: str, now: float, within: float) -> str | None:
        """Through whom a worker was last heard, if it is away."""
        a = self.away.get(machine)
        return a.via if a is not None and now - a.seen < within and a.sent == -1e9 else None

    def to_probe(self, now: float) -> list[str]:
        """Workers to be asked now."""
        out = []
        for name, a in list(self.away.items()):
            if now - max(a.seen, a.sent) > FORGET_S:
                del self.away[name]
            elif (
                self.asking < PROBES
                and not a.asking
                and not a.home
                and a.sent == -1e9
                and now >= a.probe
            ):
                a.asking, a.probe = True, now + PROBE_S
                self.asking += 1
                out.append(name)
        return out

    def probed(self, machine: str, answered: bool, now: float) -> None:
        """A worker has answered, or not."""
        self.asking -= 1
        a = self.away.get(machine)
        if a is not None:
            a.asking, a.home = False, answered
