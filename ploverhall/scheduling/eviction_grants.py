"""Stops that are asked for and granted: a stop by choice is permitted like a start.

An owner asks (its machine is to be emptied), the team's source grants within the team's budget, and the grant is written
before it is used: a new source finds what was granted, counts it, and stops it again if it still runs; so two sources
never spend the same budget. A grant that is not needed any more leaves the value with the next one.
"""

from __future__ import annotations

from typing import Any

from ploverhall.maintenance.disruption_budget import Facts, Rules, Spent, why_not
from ploverhall.protocol.agents import Key
from ploverhall.scheduling.allocations import TXN_BYTES, Entry, JobState, Txn
from ploverhall.scheduling.store_writer import Writes
from ploverhall.settings import Team
from ploverhall.storage.store_cache import SHARD, grants_key

GRANT_EVERY_S = 0.5
MOST_GRANTS = 48  # of one team in one value
GRANT_BYTES = 40


class Grants(Writes):
    """What owners have asked for, and what was granted."""

    def __init__(
        self,
        shard: int,
        epoch: int,
        teams: list[Team],
        zones: tuple[str, ...],
        value_bytes: int,
        txn_ops: int,
    ) -> None:
        super().__init__(shard, epoch, teams, zones, value_bytes, txn_ops)
        self.rules = Rules()
        self.most_grants = min(MOST_GRANTS, int(value_bytes * 0.9) // GRANT_BYTES)
        self.asks: dict[Key, float] = {}  # since when
        self.refusals: dict[Key, str] = {}  # why it is not granted yet, for people
        self.granted: dict[str, dict[Key, bool]] = {
            t.name: {} for t in teams
        }  # by team; True: it is written
        self.grant_versions: dict[str, int] = {t.name: 0 for t in teams}
        self.dirty_grants: set[str] = set()
        self.spent: dict[str, Spent] = {t.name: Spent() for t in teams}
        self.next_grant = 0.0

    # -- asking ------------------------------------------------------------------------------

    def ask(self, e: Entry, wanted: bool, now: float) -> None:
        """An owner wants a start gone from its machine, or not any more."""
        key = (e.job, e.task, e.attempt)
        if wanted:
            self.asks.setdefault(key, now)
        elif self.asks.pop(key, None) is not None:
            self.refusals.pop(key, None)
            team = self.jobs[e.job].team
            if self.granted[team].get(key) is False:
                del self.granted[team][key]  # not written yet: the order was taken back in time

    # -- granting ----------------------------------------------------------------------------

    def grant(self, now: float, wall: float) -> None:
        """Hold what is asked for against the budgets, replicas that have waited for longest first."""
        if not self.asks or now < self.next_grant:
            return
        self.next_grant = now + GRANT_EVERY_S
        downs: dict[str, int] = {}
        for key in sorted(self.asks, key=lambda k: (self.asks[k], k)):
            js = self.jobs.get(key[0])
            e = js.entries.get(key[1]) if js is not None else None
            if (
                js is None
                or e is None
                or js.job is None
                or e.over
                or e.attempt != key[2]
                or e.stop is not None
            ):
                del self.asks[key]  # it is over, or stops already
                self.refusals.pop(key, None)
                continue
            granted = self.granted[js.team]
            if key in granted:
                continue
            if js.team not in downs:
                downs[js.team] = sum(
                    self._down(j) for j in self.jobs.values() if j.team == js.team and j.ran
                )
            rule = self.rules.of(js.team, js.job.klass, js.id)
            facts = self._facts(js, e, downs[js.team], now)
            members = (
                [o for o in js.entries.values() if not o.over] if js.job.kind == "gang" else [e]
            )
            why = why_not(rule, facts, self.spent[js.team].lately(now), wall)
            if not why and len(granted) + len(members) > self.most_grants:
                why = "so many of its team are being stopped"
            if why:
                self.refusals[key] = why
                continue
            self.refusals.pop(key, None)
            for o in members:
                granted[o.job, o.task, o.attempt] = False
            self.spent[js.team].add(int(js.job.kind == "gang"), facts.lost_s, now)
            if js.job.kind == "service":
                downs[js.team] += 1
            self.dirty_grants.add(js.team)

    def _down(self, js: JobState) -> int:
        """Replicas of a service that do not serve, or will not in a moment."""
        return js.n - self._up(js) if js.job is not None and js.job.kind == "service" else 0

    def _up(self, js: JobState) -> int:
        granted = self.granted[js.team]
        return sum(
            1
            for e in js.entries.values()
            if e.running and e.stop is None and (e.job, e.task, e.attempt) not in granted
        )

    def _facts(self, js: JobState, e: Entry, team_down: int, now: float) -> Facts:
        job = js.job
        assert job is not None
        ran = now - e.ran_at if e.ran_at is not None else 0.0
        size = js.n if job.kind == "gang" else 1
        lost = 0.0 if job.checkpoint_s > 0 or job.kind == "service" else ran * size
        left = max(0.0, job.estimate_s - ran) if job.kind != "service" else float("inf")
        return Facts(
            job.kind,
            js.n,
            self._up(js),
            team_down,
            lost,
            left,
            now - self.asks[e.job, e.task, e.attempt],
        )

    def _carry_out(self, js: JobState, e: Entry) -> None:
        """A grant is written: stop it, saving where it can; a gang's tasks all with the same time to save."""
        job = js.job
        if not e.over and e.stop is None and e.landed:
            self._stop(e, job.save_s + 1.0 if job is not None and job.checkpoint_s > 0 else 0.0)

    # -- writing -----------------------------------------------------------------------------

    def plan(self, most: int | None = None) -> Txn | None:
        """The next write, with the grants that wait for one."""
        txn = super().plan(most)
        if not self.dirty_grants or self.fences:
            return txn
        if txn is None:
            txn = Txn({f"{SHARD}{self.shard}": self.epoch}, {}, [])
        for team in sorted(self.dirty_grants):
            granted, key = self.granted[team], grants_key(team)
            size = GRANT_BYTES * len(granted) + 100
            if (
                txn.ops + 1 > self.most_ops
                or len(txn.guards) + 1 > self._max_guards
                or txn.size + size > TXN_BYTES
            ):
                break
            for k in [k for k in granted if not self._alive(k)]:
                del granted[k]
            if not granted and not self.grant_versions[team]:
                self.dirty_grants.discard(team)  # nothing is written, and nothing has to be
                continue
            txn.guards[key] = self.grant_versions[team]
            if granted:
                txn.puts[key] = [list(k) for k in sorted(granted)]
            elif self.grant_versions[team]:
                txn.deletes.append(key)
            txn.grants[team] = sorted(granted)
            txn.size += size
        return txn if txn.ops else None

    def _alive(self, key: Key) -> bool:
        js = self.jobs.get(key[0])
        e = js.entries.get(key[1]) if js is not None else None
        return e is not None and e.attempt == key[2] and not e.over

    def landed(self, txn: Txn, revision: int, now: float) -> None:
        """The write is in: what was granted may be stopped."""
        super().landed(txn, revision, now)
        for team, keys in txn.grants.items():
            self.grant_versions[team] = revision if grants_key(team) in txn.puts else 0
            if sorted(self.granted[team]) == keys:
                self.dirty_grants.discard(team)
            self._take(team, keys)

    def _take(self, team: str, keys: list[Key]) -> None:
        for key in keys:
            js = self.jobs.get(key[0])
            e = js.entries.get(key[1]) if js is not None else None
            if js is not None and e is not None and e.attempt == key[2]:
                self.granted[team][key] = True
                self._carry_out(js, e)

    def install_grants(self, team: str, value: Any, version: int) -> None:
        """What is written of a team's grants, as read: at the start, and after a write of unknown outcome. Its cell must be known."""
        self.grant_versions[team] = version
        for key in [k for k, written in self.granted[team].items() if written]:
            del self.granted[team][key]
        self._take(team, [(str(j), int(t), int(a)) for j, t, a in value or []])
        if self.granted[team] or value:
            self.dirty_grants.add(team)
