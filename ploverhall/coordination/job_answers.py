"""What a user may be told of a job: the only place where a job's state becomes an answer.

Three things are needed: this controller's copy of the store, a proof that the copy is current, and, for a cancellation, the
teller's right (`coordination.cancellations`). What may be said, and why no controller gives an older answer after it:

- *done*: from the copy, without a proof. It was written in the place of the job's description, guarded on its version, so nothing
  overrules it; and whoever has it in his copy has it from a write that landed.
- *withdrawn*: the same, and only with the right to tell. Without it nothing is said of the job: neither that it is over nor, since
  the copy says that it is over, that it is not.
- *queued* or *running*: only with a proof, a read of the store begun after the question came. What any controller had told by then
  had been written before it was told (an acceptance, an end, a cancellation), so the copy holds it.
- *never accepted*: with a proof, and where there is an archive, only after a look into it that began after the proof: what leaves
  the followed keys gets there in the same transaction. What is archived may be told by anybody (`Cancellations.may_forget`).
- *accepted*, by the controller that wrote it: its write has landed. If the write's answer was lost, what landed is found by a proof.

A proof has an age: a read shared by many questions proves nothing to one that came after it had begun. A copy that is read anew
meanwhile is no older than that: a listing begins only after a watch has been refused, and until it is whole no proof is begun.

No I/O: `control.users` asks for proofs and looks into the archive.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from ploverhall.protocol import jobs
from ploverhall.storage.store_cache import ARCHIVED, Ended, Replica, ended


class Proof(NamedTuple):
    """A read of the store that began at this time of the steady clock has brought the copy up to date."""

    begun: float


class Known(NamedTuple):
    """May be said: the answer's body, and whether it is final."""

    view: dict[str, Any]
    over: bool


class NotNow(NamedTuple):
    """Nothing may be said of the job at the moment."""

    why: str


class NeverAccepted(NamedTuple):
    """Nobody has submitted the job."""


class InArchive(NamedTuple):
    """Only the archive can say whether there was such a job."""


Answer = Known | NotNow | NeverAccepted
UNTOLD = NotNow("not known to all controllers yet")
UNPROVED = NotNow("state unknown")


class Answers:
    """One controller's."""

    def __init__(
        self,
        replica: Replica,
        may_tell: Callable[[Ended], bool],
        progress: Callable[[jobs.Job], tuple[int, int]],
    ) -> None:
        self.replica = replica
        self.may_tell = may_tell
        self.progress = progress  # a live job's tasks done and running, for display

    def final(self, jid: str) -> Known | NotNow | None:
        """How a job ended, as far as may be told, whenever it was read; None: not over as far as the copy knows."""
        end = self.replica.ended.get(jid)
        if end is None:
            return None
        return Known(jobs.view(jid, end.how, end.done), True) if self.may_tell(end) else UNTOLD

    def proved(self, jid: str, asked: float, proof: Proof | None) -> Answer | InArchive:
        """What is known for certain of a job that was asked about at that time."""
        if (end := self.final(jid)) is not None:
            return end
        if proof is None or proof.begun < asked:
            return UNPROVED
        if (live := self.replica.live.get(jid)) is not None:
            done, running = self.progress(live[0])
            return Known(
                jobs.view(jid, jobs.RUNNING if running else jobs.QUEUED, done, running), False
            )
        if jid in self.replica.unreadable:
            return Known(jobs.view(jid, jobs.QUEUED), False)
        return InArchive() if ARCHIVED in self.replica.keys else NeverAccepted()

    def archived(
        self, jid: str, value: dict[str, Any] | None, version: int
    ) -> Known | NeverAccepted:
        """What a look into the archive has brought, begun after the proof."""
        if value is None:
            return NeverAccepted()
        end = ended(value, version)
        return Known(jobs.view(jid, end.how, end.done), True)

    def accepted(self, jid: str) -> Known:
        """This controller's own submission has landed, and nothing of the job had been there before."""
        return Known({"id": jid, "stance": jobs.QUEUED}, False)

    def live_at(self, jid: str) -> int | None:
        """The version under which the copy holds a job that is not over: what a cancellation is guarded on."""
        live = self.replica.live.get(jid)
        return live[1] if live is not None else None

    def is_live(self, jid: str) -> bool:
        """Whether the copy holds a job as accepted and not over. (For what to do next, not for what to say.)"""
        return jid in self.replica.live or jid in self.replica.unreadable
