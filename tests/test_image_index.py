"""Tests of the stored index of images on machines, which the next owner of a shard reads."""

from __future__ import annotations

import orjson

from ploverhall.storage import image_index


def test_packed_values_stay_under_the_size_limit_and_lose_nothing() -> None:
    known = {
        f"n-{i:06d}": {f"img-{j:02d}": j / 4 for j in ((i * 7 + k) % 50 for k in range(i % 9))}
        for i in range(400)
    }
    values = image_index.pack(known, 4096)
    assert len(values) > 1 and all(len(orjson.dumps(v)) <= 4096 for v in values)
    assert image_index.unpack(values) == {m: held for m, held in known.items() if held}


def test_machine_whose_images_exceed_one_value_is_left_out() -> None:
    values = image_index.pack(
        {"n-1": {"x" * 400 + str(i): 1.0 for i in range(20)}, "n-2": {"a": 1.0}}, 4096
    )
    assert image_index.unpack(values) == {"n-2": {"a": 1.0}}
