"""What a person is told, whichever controller is asked, and what the log warns of.

Each controller tells the others now and then what it sees, bounded in size, so that all of them can show the whole
fleet at any time; what can't be heard just now is shown as last known, with its age. The same view is what the log
warns of: once when a trouble begins, once when it ends.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from ploverhall import log, status
from ploverhall.controller.context import ControllerContext
from ploverhall.controller.shard_status import ShardStatus
from ploverhall.coordination.state_channel import Message

REPORT_INTERVAL_S = 5.0
PEER_ANSWER_TIMEOUT_S = 1.0  # how long a person waits for what other controllers say


class StatusReport:
    """Views of all controllers, and the troubles that the log has named."""

    def __init__(
        self,
        context: ControllerContext,
        shard_status: ShardStatus,
        connected_peers: Callable[[], list[str]],
        notify_peer: Callable[[str], None],
    ) -> None:
        self.context = context
        self.shard_status = shard_status
        # The peers there is a connection to, and how to say that there is something for one
        self.connected_peers = connected_peers
        self.notify_peer = notify_peer
        # Other controllers': when heard, and what
        self.peer_reports: dict[str, tuple[float, dict[str, Any]]] = {}
        self.sent_at: dict[str, float] = {}
        self.own_report: dict[str, Any] = {}
        # Asked here: what, answers, all in
        self.open_questions: dict[int, tuple[dict[str, str], dict[str, Any], anyio.Event]] = {}
        self.question_count = 0
        self.outbound: dict[str, list[Message]] = {}  # questions and answers to be sent
        self.active_conditions: dict[str, str] = {}

    async def loop(self) -> None:
        """Look, and warn of what is new. (Not at once: a controller that has just started has heard nobody yet.)"""
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
        """What goes to a peer now."""
        out = self.outbound.pop(controller, [])
        if self.own_report and now - self.sent_at.get(controller, -1e9) > REPORT_INTERVAL_S:
            self.sent_at[controller] = now
            out.append(["v", self.context.controller_index, 0, 0, True, self.own_report, 0])
        return out

    def deliver(self, controller: str, message: Message) -> None:
        """A peer's view, question or answer."""
        kind, value, number = message[0], message[5], message[6]
        if kind == "v":
            self.peer_reports[controller] = (self.context.clock(), value)
        elif kind == "q":
            self._send(controller, "a", self.shard_status.report(value), number)
        elif number in self.open_questions:
            _, answers, done = self.open_questions[number]
            answers[controller] = value
            self.peer_reports[controller] = (
                (self.context.clock(), value)
                if not self.open_questions[number][0]
                else self.peer_reports.get(controller, (0.0, {}))
            )
            if len(answers) == len(self.context.settings.peers):
                done.set()

    def _send(self, controller: str, kind: str, value: Any, number: int) -> None:
        self.outbound.setdefault(controller, []).append(
            [kind, self.context.controller_index, 0, 0, True, value, number]
        )
        self.notify_peer(controller)

    # -- people --------------------------------------------------------------------------------

    async def answer(self, selection: dict[str, str]) -> dict[str, Any]:
        """All controllers' views: asked now, or as last heard."""
        self.question_count += 1
        number, answers, done = self.question_count, dict[str, Any](), anyio.Event()
        self.open_questions[number] = (selection, answers, done)
        connected = self.connected_peers()
        for name in connected:
            self._send(name, "q", selection, number)
        try:
            if connected:
                with anyio.move_on_after(PEER_ANSWER_TIMEOUT_S):
                    await done.wait()
        finally:
            del self.open_questions[number]
            for queue in self.outbound.values():
                queue[:] = [
                    message for message in queue if message[0] != "q" or message[6] != number
                ]
        now = self.context.clock()
        views: dict[str, Any] = {
            self.context.settings.name: {"age_s": 0.0, "view": self.shard_status.report(selection)}
        }
        for peer in self.context.settings.peers:
            if peer.name in answers:
                views[peer.name] = {"age_s": 0.0, "view": answers[peer.name]}
            elif peer.name in self.peer_reports:
                heard, view = self.peer_reports[peer.name]
                views[peer.name] = {
                    "age_s": round(now - heard, 1),
                    "view": status.select(view, selection),
                }
            else:
                views[peer.name] = {"age_s": None, "view": None}
        return {"asked": self.context.settings.name, "controllers": views}
