"""Exchanges status reports between controllers, and logs the conditions of this controller.

Each controller can report the status of the whole fleet at any time: `StatusReport` sends this
controller's report, which is bounded in size, to its peers at most once per `REPORT_INTERVAL_S`. A
peer that can't be queried is shown with its last report and the age of that. Conditions are derived
from this controller's report and logged once when raised and once when cleared. `http_routes` calls
`answer`; `peer_links` calls `collect` and `deliver`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypedDict

import anyio

from ploverhall import log, status
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.shard_status import ShardStatus
from ploverhall.controller.status_fields import Selection
from ploverhall.coordination import state_channel
from ploverhall.coordination.state_channel import Message
from ploverhall.protocol.peer_messages import STATUS_ANSWER, STATUS_QUERY, STATUS_REPORT
from ploverhall.runtime import NEVER

REPORT_INTERVAL_S = 5.0
PEER_ANSWER_TIMEOUT_S = 1.0  # how long an operator's query waits for the peers


Report = Mapping[str, Any]  # `StatusFields`, or what a peer of another release sent in its place


class ControllerView(TypedDict):
    """A controller's entry in the JSON of `/status`."""

    age_s: float | None  # age of the report; None if there is no report
    view: Report | None


class FleetStatus(TypedDict):
    """The reports of all controllers: the JSON of `/status`."""

    asked: str  # the controller that answers the request
    controllers: dict[str, ControllerView]


@dataclass(slots=True)
class PendingQuery:
    """A status query to all connected peers whose answers are awaited."""

    selection: Selection
    answers: dict[str, Report] = field(default_factory=dict)  # by peer
    complete: anyio.Event = field(default_factory=anyio.Event)


class StatusReport:
    """Collects the reports of all controllers, and tracks this controller's conditions."""

    def __init__(
        self,
        context: ControllerContext,
        shard_status: ShardStatus,
        connected_peers: Callable[[], list[str]],
        notify_peer: Callable[[str], None],
    ) -> None:
        self.context = context
        self.shard_status = shard_status
        # `connected_peers` returns the names of connected peers; `notify_peer` wakes a peer's link
        self.connected_peers = connected_peers
        self.notify_peer = notify_peer
        # By peer: when its report was received (seconds of the monotonic clock), and the report
        self.peer_reports: dict[str, tuple[float, Report]] = {}
        self.sent_at: dict[str, float] = {}
        self.own_report: Report = {}
        self.pending_queries: dict[int, PendingQuery] = {}  # by number
        self.query_count = 0
        self.outbound: dict[str, list[Message]] = {}  # queries and answers to send, by peer
        self.active_conditions: dict[str, str] = {}  # texts of raised conditions, by key

    async def loop(self) -> None:
        """Update this controller's report and log conditions once per interval; never returns.

        It waits for one interval first: a controller that has just started has not yet received
        anything from its peers.
        """
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            self.own_report = self.shard_status.report()
            current = {
                key: text
                for key, text in status.conditions(self.own_report).items()
                if key[0] != "~"
            }
            for key in current.keys() - self.active_conditions.keys():
                log.warn("condition raised", condition=current[key])
            for key in self.active_conditions.keys() - current.keys():
                log.warn("condition cleared", condition=self.active_conditions[key])
            self.active_conditions = current

    # -- messages of peers ---------------------------------------------------------------------

    def collect(self, controller: str, now: float) -> list[Message]:
        """Return the messages to send to a peer now, and remove them from the queue.

        They include this controller's report if it is due; `now` is in seconds of the clock.
        """
        messages = self.outbound.pop(controller, [])
        if self.own_report and now - self.sent_at.get(controller, NEVER) > REPORT_INTERVAL_S:
            self.sent_at[controller] = now
            messages.append(self._message(STATUS_REPORT, self.own_report, 0))
        return messages

    def deliver(self, controller: str, message: Message) -> None:
        """Process a peer's report, query or answer; an answer that nobody awaits is ignored."""
        kind, value, number = message[0], message[5], message[6]
        if kind == STATUS_REPORT:
            self.peer_reports[controller] = (self.context.clock(), value)
        elif kind == STATUS_QUERY:
            self._send(controller, STATUS_ANSWER, self.shard_status.report(value), number)
        elif number in self.pending_queries:
            self._receive_answer(controller, self.pending_queries[number], value)

    def _receive_answer(self, controller: str, query: PendingQuery, report: Report) -> None:
        """Record a peer's answer to a query.

        An answer to a query without a selection also replaces the peer's report.
        """
        query.answers[controller] = report
        if not query.selection:
            self.peer_reports[controller] = (self.context.clock(), report)
        else:
            self.peer_reports.setdefault(controller, (0.0, {}))
        if len(query.answers) == len(self.context.settings.peers):
            query.complete.set()

    def _send(self, controller: str, kind: str, value: Any, number: int) -> None:
        """Queue a message for a peer and wake the link to it."""
        self.outbound.setdefault(controller, []).append(self._message(kind, value, number))
        self.notify_peer(controller)

    def _message(self, kind: str, value: Any, number: int) -> Message:
        return state_channel.peer_message(kind, self.context.controller_index, value, number)

    # -- operators -----------------------------------------------------------------------------

    async def answer(self, selection: Selection) -> FleetStatus:
        """Return the reports of all controllers, as the JSON of `/status`.

        Peers are queried now. For a peer that doesn't answer in time, its last received report is
        returned with its age in seconds, or None if there is none.

        `selection`: a job, team or machine, or empty for the whole fleet.
        """
        answers = await self._query_peers(selection)
        now = self.context.clock()
        own_report = self.shard_status.report(selection)
        views: dict[str, ControllerView] = {self.context.settings.name: _view(0.0, own_report)}
        for peer in self.context.settings.peers:
            if peer.name in answers:
                views[peer.name] = _view(0.0, answers[peer.name])
            elif peer.name in self.peer_reports:
                received_at, report = self.peer_reports[peer.name]
                views[peer.name] = _view(
                    round(now - received_at, 1), status.select(report, selection)
                )
            else:
                views[peer.name] = _view(None, None)
        return {"asked": self.context.settings.name, "controllers": views}

    async def _query_peers(self, selection: Selection) -> dict[str, Report]:
        """Return the reports of the peers that answer within `PEER_ANSWER_TIMEOUT_S`, by name."""
        self.query_count += 1
        number, query = self.query_count, PendingQuery(selection)
        self.pending_queries[number] = query
        connected = self.connected_peers()
        for name in connected:
            self._send(name, STATUS_QUERY, selection, number)
        try:
            if connected:
                with anyio.move_on_after(PEER_ANSWER_TIMEOUT_S):
                    await query.complete.wait()
        finally:
            del self.pending_queries[number]
            self._drop_unsent(number)
        return query.answers

    def _drop_unsent(self, number: int) -> None:
        """Remove the unsent messages of a query that nobody awaits any longer."""
        for queue in self.outbound.values():
            queue[:] = [
                message for message in queue if message[0] != STATUS_QUERY or message[6] != number
            ]


def _view(age_s: float | None, report: Report | None) -> ControllerView:
    """Return a controller's entry in the JSON of `/status`."""
    return {"age_s": age_s, "view": report}
