"""Reports the state of one controller and of the shards it holds, bounded in size.

`ShardStatus.report` is this controller's part of the answer to `ploverhall status`: `status_report`
collects the reports of all controllers, and `ploverhall.status` shows them. The keys of a report
(`status_fields`) are part of the published JSON of `/status`, and controllers of other releases
read them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from ploverhall.controller.context import ControllerContext
from ploverhall.controller.job_rows import JobRowCandidate, add_job_rows, add_source
from ploverhall.controller.machine_rows import add_machines, add_order_preview
from ploverhall.controller.peer_liveness import PeerLiveness
from ploverhall.controller.status_fields import (
    AutoscalerFields,
    ConnectivityFields,
    ControllerFields,
    Selection,
    ShardFields,
    StatusFields,
    empty_shard_fields,
)
from ploverhall.status import MAX_ROWS, RECENT_STALL_S


class ShardStatus:
    """Builds this controller's status report."""

    def __init__(
        self,
        context: ControllerContext,
        peer_liveness: PeerLiveness,
        capacity_shortages: Callable[[], dict[str, float]],
        connectivity: Callable[[], ConnectivityFields],
    ) -> None:
        """Create the reporter.

        `capacity_shortages`: returns the amount of each shortage of this controller, by its key in
        the report;
        `connectivity`: returns this controller's connectivity to services and agents.
        """
        self.context = context
        self.peer_liveness = peer_liveness
        self.capacity_shortages = capacity_shortages
        self.connectivity = connectivity

    def report(self, selection: Selection | None = None) -> StatusFields:
        """Return this controller's status report, with at most `MAX_ROWS` rows of each kind.

        With a job, team or machine selected, the rows are those that concern it, including jobs and
        machines without a problem, and jobs are shown with their tasks.
        """
        with self.context.step_timer.measure("status report"):
            return self._report(selection)

    def _report(self, selection: Selection | None) -> StatusFields:
        now = self.context.clock()
        report: StatusFields = {
            **self._controller_fields(now),
            **self._autoscaler_fields(now),
            **empty_shard_fields(),
        }
        row_candidates: list[JobRowCandidate] = []
        for held in self.context.held_shards.values():
            if held.source is not None:
                add_source(report, row_candidates, held.source, now, selection)
            if selection and "would" in selection:
                add_order_preview(report["would"], held, selection["would"])
            add_machines(report, held, now, selection)
        add_job_rows(report, row_candidates, now, selection)
        _truncate_rows(report)
        return report

    def _controller_fields(self, now: float) -> ControllerFields:
        """Return the fields that describe the controller itself."""
        context = self.context
        settings = context.settings
        fields: ControllerFields = {
            "node": settings.name,
            "zone": settings.zone,
            "shards": {str(held.shard): held.epoch for held in context.held_shards.values()},
            "ready": context.store_cache.ready,
            "state_age_s": round(now - max(context.started_at, context.store.last_answer_at), 1),
            "short": self.capacity_shortages(),
            "reach": self.connectivity(),
            "unheard": [
                peer.name
                for peer in settings.peers
                if not self.peer_liveness.is_alive(peer.name, now)
            ],
            "stood_still": self._recent_stall(now),
            "quiet_s": {
                str(shard): round(silence_s, 1)
                for shard, silence_s in self.peer_liveness.without_heartbeats_s(now).items()
            },
        }
        slowest = context.step_timer.slowest_since(now - RECENT_STALL_S)
        if slowest is not None:
            ago_s = round(now - slowest.ended_at, 1)
            fields["slow_step"] = [ago_s, round(slowest.seconds, 2), slowest.name]
        self._add_evidence_counts(fields)
        return fields

    def _add_evidence_counts(self, fields: ControllerFields) -> None:
        """Add the counts that concern evidence and fences of the shards held here, if any."""
        owners = [held.owner for held in self.context.held_shards.values()]
        gone_verdicts: Counter[str] = Counter()
        for owner in owners:
            gone_verdicts.update(owner.gone_verdicts.counts)
        stale_messages = sum(owner.stale_message_count for owner in owners)
        raised_tokens = sum(owner.raised_token_count for owner in owners)
        if gone_verdicts:
            fields["gone_verdicts"] = dict(sorted(gone_verdicts.items()))
        if stale_messages:
            fields["stale_messages"] = stale_messages
        if raised_tokens:
            fields["raised_tokens"] = raised_tokens

    def _recent_stall(self, now: float) -> list[float] | None:
        """Return how long ago the last event-loop stall ended and its length, both in seconds.

        Returns None if it ended `RECENT_STALL_S` ago or earlier.
        """
        stalled_ago_s = now - self.context.stalled_at
        if stalled_ago_s >= RECENT_STALL_S:
            return None
        return [round(stalled_ago_s, 1), round(self.context.stall_s, 1)]

    def _autoscaler_fields(self, now: float) -> AutoscalerFields:
        """Return the autoscaler's fields; empty ones if this controller doesn't hold its role."""
        autoscaler = self.context.autoscaler
        if autoscaler is None:
            return {"renter": False, "late": [], "orders": {}}
        return {
            "renter": True,
            "late": autoscaler.late_machines(now)[:MAX_ROWS],
            "orders": autoscaler.order_progress(),
        }


def _truncate_rows(report: ShardFields) -> None:
    """Keep `MAX_ROWS` rows of machines, failed attempts and ended jobs, and count the rest.

    Failed attempts and ended jobs are sorted with the newest first.
    """
    report["died"].sort()
    report["ended"].sort()
    for rows in (report["trouble_machines"], report["died"], report["ended"]):
        report["left_out"] += max(0, len(rows) - MAX_ROWS)
        del rows[MAX_ROWS:]
