"""The status of the whole fleet, whichever controller is asked, and the conditions that are logged.

`StatusReport` sends this controller's report to its peers now and then, bounded in size, so that
each can show the whole fleet at any time: a peer that cannot be asked is shown as last known, with
the age of its report. The same report gives the conditions that are logged, once when raised and
once when cleared. `http_routes` calls `answer`; `peer_links` calls `collect` and `deliver`.
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
PEER_ANSWER_TIMEOUT_S = 1.0  # how long an operator waits for the other controllers


Report = Mapping[str, Any]  # `StatusFields`, or what a peer of another release sent in its place


class ControllerView(TypedDict):
    """A controller's entry in the JSON of `/status`."""

    age_s: float | None  # of the report; None where there is none
    view: Report | None


class FleetStatus(TypedDict):
    """All controllers' reports: the JSON of `/status`."""

    asked: str  # the controller that answers
    controllers: dict[str, ControllerView]


@dataclass(slots=True)
class OpenQuestion:
    """A question to all connected peers, whose answers are awaited."""

    selection: Selection
    answers: dict[str, Report] = field(default_factory=dict)  # by peer
    complete: anyio.Event = field(default_factory=anyio.Event)


class StatusReport:
    """Reports of all controllers, and the conditions that are raised here."""

    def __init__(
        self,
        context: ControllerContext,
        shard_status: ShardStatus,
        connected_peers: Callable[[], list[str]],
        notify_peer: Callable[[str], None],
    ) -> None:
        self.context = context
        self.shard_status = shard_status
        # Names the peers that there is a connection to; wakes the link to one
        self.connected_peers = connected_peers
        self.notify_peer = notify_peer
        # By peer: when its report was received (steady clock, seconds), and the report
        self.peer_reports: dict[str, tuple[float, Report]] = {}
        self.sent_at: dict[str, float] = {}
        self.own_report: Report = {}
        self.open_questions: dict[int, OpenQuestion] = {}  # by number
        self.question_count = 0
        self.outbound: dict[str, list[Message]] = {}  # questions and answers to send, by peer
        self.active_conditions: dict[str, str] = {}  # texts by key

    async def loop(self) -> None:
        """Renew this controller's report and log conditions; never returns.

        Not at once: a controller that has just started has not heard of any peer yet.
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

    # -- between controllers -------------------------------------------------------------------

    def collect(self, controller: str, now: float) -> list[Message]:
        """The messages that go to a peer now."""
        messages = self.outbound.pop(controller, [])
        if self.own_report and now - self.sent_at.get(controller, NEVER) > REPORT_INTERVAL_S:
            self.sent_at[controller] = now
            messages.append(self._message(STATUS_REPORT, self.own_report, 0))
        return messages

    def deliver(self, controller: str, message: Message) -> None:
        """Take in a peer's report, question or answer."""
        kind, value, number = message[0], message[5], message[6]
        if kind == STATUS_REPORT:
            self.peer_reports[controller] = (self.context.clock(), value)
        elif kind == STATUS_QUERY:
            self._send(controller, STATUS_ANSWER, self.shard_status.report(value), number)
        elif number in self.open_questions:
            self._receive_answer(controller, self.open_questions[number], value)

    def _receive_answer(self, controller: str, question: OpenQuestion, report: Report) -> None:
        """Take in a peer's answer; one to a question about everything is its report, too."""
        question.answers[controller] = report
        if not question.selection:
            self.peer_reports[controller] = (self.context.clock(), report)
        else:
            self.peer_reports.setdefault(controller, (0.0, {}))
        if len(question.answers) == len(self.context.settings.peers):
            question.complete.set()

    def _send(self, controller: str, kind: str, value: Any, number: int) -> None:
        """Queue a message for a peer, and wake the link to it."""
        self.outbound.setdefault(controller, []).append(self._message(kind, value, number))
        self.notify_peer(controller)

    def _message(self, kind: str, value: Any, number: int) -> Message:
        return state_channel.peer_message(kind, self.context.controller_index, value, number)

    # -- operators -----------------------------------------------------------------------------

    async def answer(self, selection: Selection) -> FleetStatus:
        """All controllers' reports: asked for now, or as last received with their age in seconds.

        `selection`: a job, team or machine, or empty for the whole fleet. The JSON of `/status`.
        """
        answers = await self._ask_peers(selection)
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

    async def _ask_peers(self, selection: Selection) -> dict[str, Report]:
        """The reports of the peers that answer within `PEER_ANSWER_TIMEOUT_S`."""
        self.question_count += 1
        number, question = self.question_count, OpenQuestion(selection)
        self.open_questions[number] = question
        connected = self.connected_peers()
        for name in connected:
            self._send(name, STATUS_QUERY, selection, number)
        try:
            if connected:
                with anyio.move_on_after(PEER_ANSWER_TIMEOUT_S):
                    await question.complete.wait()
        finally:
            del self.open_questions[number]
            self._drop_unsent(number)
        return question.answers

    def _drop_unsent(self, number: int) -> None:
        """Remove a question that nobody waits for from the queues."""
        for queue in self.outbound.values():
            queue[:] = [
                message for message in queue if message[0] != STATUS_QUERY or message[6] != number
            ]


def _view(age_s: float | None, report: Report | None) -> ControllerView:
    """A controller's entry in the JSON of `/status`."""
    return {"age_s": age_s, "view": report}
