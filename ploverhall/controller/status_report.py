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
from ploverhall.controller.context import Shared
from ploverhall.controller.shard_status import View
from ploverhall.coordination.state_channel import Message

VIEW_EVERY_S = 5.0
ANSWER_S = 1.0  # how long a person waits for what other controllers say


class Telling:
    """Views of all controllers, and the troubles that the log has named."""

    def __init__(
        self, shared: Shared, view: View, up: Callable[[], list[str]], poke: Callable[[str], None]
    ) -> None:
        self.shared, self.own = shared, view
        self.up, self.poke = (
            up,
            poke,
        )  # the peers there is a connection to, and how to say that there is something for one
        self.views: dict[
            str, tuple[float, dict[str, Any]]
        ] = {}  # other controllers': when heard, and what
        self.sent: dict[str, float] = {}
        self.view: dict[str, Any] = {}
        self.questions: dict[
            int, tuple[dict[str, str], dict[str, Any], anyio.Event]
        ] = {}  # asked here: what, answers, all in
        self.asked = 0
        self.out: dict[str, list[Message]] = {}  # questions and answers to be sent
        self.troubles: dict[str, str] = {}

    async def loop(self) -> None:
        """Look, and warn of what is new. (Not at once: a controller that has just started has heard nobody yet.)"""
        while True:
            await anyio.sleep(VIEW_EVERY_S)
            self.view = self.own.of()
            now = {key: text for key, text in status.troubles(self.view).items() if key[0] != "~"}
            for key in now.keys() - self.troubles.keys():
                log.warn("trouble begins", that=now[key])
            for key in self.troubles.keys() - now.keys():
                log.warn("trouble ended", that=self.troubles[key])
            self.troubles = now

    # -- between controllers -------------------------------------------------------------------

    def collect(self, node: str, now: float) -> list[Message]:
        """What goes to a peer now."""
        out = self.out.pop(node, [])
        if self.view and now - self.sent.get(node, -1e9) > VIEW_EVERY_S:
            self.sent[node] = now
            out.append(["v", self.shared.me, 0, 0, True, self.view, 0])
        return out

    def deliver(self, node: str, message: Message) -> None:
        """A peer's view, question or answer."""
        kind, value, number = message[0], message[5], message[6]
        if kind == "v":
            self.views[node] = (self.shared.clock(), value)
        elif kind == "q":
            self._send(node, "a", self.own.of(value), number)
        elif number in self.questions:
            _, answers, done = self.questions[number]
            answers[node] = value
            self.views[node] = (
                (self.shared.clock(), value)
                if not self.questions[number][0]
                else self.views.get(node, (0.0, {}))
            )
            if len(answers) == len(self.shared.settings.peers):
                done.set()

    def _send(self, node: str, kind: str, value: Any, number: int) -> None:
        self.out.setdefault(node, []).append([kind, self.shared.me, 0, 0, True, value, number])
        self.poke(node)

    # -- people --------------------------------------------------------------------------------

    async def answer(self, chosen: dict[str, str]) -> dict[str, Any]:
        """All controllers' views: asked now, or as last heard."""
        self.asked += 1
        number, answers, done = self.asked, dict[str, Any](), anyio.Event()
        self.questions[number] = (chosen, answers, done)
        up = self.up()
        for name in up:
            self._send(name, "q", chosen, number)
        try:
            if up:
                with anyio.move_on_after(ANSWER_S):
                    await done.wait()
        finally:
            del self.questions[number]
            for queue in self.out.values():
                queue[:] = [m for m in queue if m[0] != "q" or m[6] != number]
        now = self.shared.clock()
        views: dict[str, Any] = {
            self.shared.settings.name: {"age_s": 0.0, "view": self.own.of(chosen)}
        }
        for peer in self.shared.settings.peers:
            if peer.name in answers:
                views[peer.name] = {"age_s": 0.0, "view": answers[peer.name]}
            elif peer.name in self.views:
                heard, view = self.views[peer.name]
                views[peer.name] = {
                    "age_s": round(now - heard, 1),
                    "view": status.choose(view, chosen),
                }
            else:
                views[peer.name] = {"age_s": None, "view": None}
        return {"asked": self.shared.settings.name, "controllers": views}
