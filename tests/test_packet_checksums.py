"""Check that three of the recorded scenes still send the same packets at the same times.

packet_checksums.py compares all of them.
"""

from __future__ import annotations

import cbor2
import pytest

from .packet_checksums import (
    RECORDED,
    RUNS,
    SceneRun,
    difference,
    load,
    run_checksums,
    without_texts,
)


@pytest.mark.parametrize(
    "scene_run",
    [SceneRun("crashes", 1), SceneRun("cancellations", 2), SceneRun("maintenance", 3)],
    ids=lambda scene_run: scene_run.kind,
)
def test_scene_sends_the_recorded_packets(scene_run: SceneRun) -> None:
    assert difference(load(RECORDED)[scene_run.name], run_checksums(scene_run)) == ""


def test_every_run_is_recorded() -> None:
    assert set(load(RECORDED)) == {scene_run.name for scene_run in RUNS}


def frame(*messages: list[object]) -> bytes:
    data = cbor2.dumps(list(messages))
    return len(data).to_bytes(4, "big") + data


def test_only_texts_for_people_are_left_out() -> None:
    def owner_board(state: str, reason: str) -> bytes:
        return without_texts(
            frame(["o", 0, 7, 1, False, {"tj-000001/0/1": [state, reason, 0, 0, 0]}, 1])
        )

    def view(text: str, number: int) -> bytes:
        return without_texts(frame(["v", 0, 0, 0, True, {"queue": text}, number]))

    assert owner_board("gone", "its machine is gone") == owner_board("gone", "another wording")
    assert owner_board("exited", "error") != owner_board("exited", "done")
    assert view("one", 0) == view("two", 0)
    assert view("one", 0) != view("one", 1)
    assert without_texts(b".") == b"."
