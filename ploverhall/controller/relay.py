"""Questions put through other members, and theirs worked on here: the sending side of `reach`."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from ploverhall import log
from ploverhall.connectivity.pending_relays import Calls, too_late
from ploverhall.connectivity.relay_routes import Ways
from ploverhall.controller.context import Shared
from ploverhall.controller.peer_liveness import Hearing
from ploverhall.coordination.state_channel import Message
from ploverhall.log import where
from ploverhall.protocol import relay_messages
from ploverhall.protocol.relay_messages import Answer, Question
from ploverhall.transport.http import Unreachable

WORD_EVERY_S = 0.5
LATE_S = 0.5  # its own work comes first: so far behind it carries nothing
UP_S = (
    0.25  # how soon it is seen that there is no connection any more over which it could be answered
)
Handler = Callable[[str, Question], Awaitable[tuple[int, bytes]]]


class NotCarried(Exception):
    """Surely not executed: no way, no room, no time."""


class Carrying:
    """Both sides: what is asked of others, and what others ask."""

    def __init__(
        self,
        shared: Shared,
        hearing: Hearing,
        ways: Ways,
        poke: Callable[[str], None],
        up: Callable[[str], bool],
        start: Callable[[str, Question], None],
    ) -> None:
        self.shared, self.hearing, self.ways, self.poke, self.up, self.start = (
            shared,
            hearing,
            ways,
            poke,
            up,
            start,
        )
        self.calls = Calls(f"{shared.rng.getrandbits(64):x}")
        self.waiting: dict[int, tuple[anyio.Event, list[Answer]]] = {}
        self.handlers: dict[str, Handler] = {}
        self.late: Callable[[], float] = float  # by how much this controller's own work is behind
        self.reached: Callable[[], dict[str, Any]] = dict  # what this member reaches, for its word
        self.word_at: dict[str, float] = {}

    # -- asking --------------------------------------------------------------------------------

    async def ask(
        self,
        via: str,
        what: str,
        *,
        timeout: float,
        method: str = "",
        target: str = "",
        hold: float = 0.0,
        body: bytes = b"",
        to: str = "",
        hops: int = 2,
    ) -> tuple[int, bytes]:
        """One question to a member: (status, body). NotCarried: surely not executed; Unreachable: that is not known."""
        shared = self.shared
        until = shared.clock() + timeout + hold
        if not self.up(via):
            self.ways.failed(via, shared.clock())
            raise NotCarried(f"no connection to {via}")
        number = self.calls.ask(via, until)
        if number is None:
            raise NotCarried("too many open questions")
        q = Question(
            self.calls.life,
            number,
            what,
            shared.wall() + timeout + hold,
            hops,
            to,
            method,
            target,
            hold,
            body,
        )
        done: tuple[anyio.Event, list[Answer]] = (anyio.Event(), [])
        self.waiting[number] = done
        try:
            if not self.calls.put(
                via, relay_messages.pack(relay_messages.QUESTION, shared.me, q), len(body) + len(target) + 200, until
            ):
                raise NotCarried("too much waits for it")
            self.poke(via)
            while (left := until - shared.clock()) > 0 and not done[1] and self.up(via):
                with anyio.move_on_after(min(left, UP_S)):
                    await done[0].wait()
        finally:
            del self.waiting[number]
            self.calls.close(number)
        if not done[1]:
            self.ways.failed(via, shared.clock())
            raise Unreachable(f"{what} through {via}: no answer")
        a = done[1][0]
        if a.status == 0:
            self.ways.failed(via, shared.clock())
            if a.refused:
                raise NotCarried(f"{what} through {via}: refused")
            raise Unreachable(f"{what} through {via}: outcome not known")
        self.ways.worked(via)
        return a.status, a.body

    # -- being asked ---------------------------------------------------------------------------

    async def serve(self, by: str, q: Question) -> None:
        """Work on a member's question, and answer."""
        status, refused, body = 0, True, b""
        try:
            status, body = await self.handlers[q.what](by, q)
            if len(body) > relay_messages.MOST_BODY:
                status, refused, body = (
                    0,
                    False,
                    b"",
                )  # it has been executed: only its answer can't be carried
        except NotCarried:
            pass
        except Unreachable:
            refused = False
        except Exception as e:  # one question must not end the process
            refused = False
            log.error("carrying failed", kind=q.what, by=by, error=repr(e), at=where(e))
        finally:
            self.calls.end(by)
        self._answer(by, q, status, refused, body)

    def _answer(self, by: str, q: Question, status: int, refused: bool, body: bytes) -> None:
        """Put an answer in the member's queue; where there is no room for it, it will have to ask again."""
        left = q.until - self.shared.wall()
        a = Answer(q.life, q.number, status, refused, body)
        self.calls.put(
            by,
            relay_messages.pack(relay_messages.ANSWER, self.shared.me, a),
            len(body) + 100,
            self.shared.clock() + left,
        )
        self.poke(by)

    # -- on the links --------------------------------------------------------------------------

    def collect(self, node: str, now: float) -> list[Message]:
        """What goes to a peer now."""
        out = self.calls.take(node, now)
        if now - self.word_at.get(node, -1e9) > WORD_EVERY_S:
            self.word_at[node] = now
            heard = [n for n in self.ways.said if self.hearing.heard(n, now)]
            can = list(relay_messages.KINDS) if self.shared.settings.options.carry else []
            out.append(
                [
                    relay_messages.WORD,
                    self.shared.me,
                    0,
                    0,
                    True,
                    {"life": self.calls.life, "can": can, "hears": heard, **self.reached()},
                    0,
                ]
            )
        return out

    def deliver(self, node: str, message: Message) -> None:
        """A peer's word, question or answer; one that is not in the form is nobody's."""
        kind, value = message[0], message[5]
        if node not in self.ways.said:
            return
        try:
            if kind == relay_messages.WORD and isinstance(value, dict):
                self.ways.heard(node, value, self.shared.clock())
            elif kind == relay_messages.QUESTION:
                q = relay_messages.question(value)
                if too_late(q.until, self.shared.wall()):
                    self.calls.refused += 1  # held back on its way: whoever asked has long gone on
                elif (
                    q.what not in self.handlers
                    or self.late() > LATE_S
                    or not self.calls.begin(node)
                ):
                    self._answer(node, q, 0, True, b"")
                else:
                    self.start(node, q)
            elif kind == relay_messages.ANSWER:
                a = relay_messages.answer(value)
                waiting = self.waiting.get(a.number)
                if self.calls.answered(a.life, a.number, node) and waiting is not None:
                    waiting[1].append(a)
                    waiting[0].set()
        except relay_messages.Malformed:
            pass
