"""Selects offers for a gang, whose tasks start all together or not at all."""

from __future__ import annotations

from ploverhall.protocol.jobs import Job
from ploverhall.scheduling.job_state import Offer

ALL_ZONES = "all"


def pick_gang_offers(job: Job, offers: list[Offer]) -> list[Offer]:
    """Return one offer for each task of a gang; an empty list if the offers don't suffice.

    Offers from one shard and zone are preferred, then offers from one zone, then offers from all
    zones. A less preferred group is chosen only if its costliest offer is cheaper. `offers` must be
    sorted by preference.
    """
    best: list[Offer] = []
    for group in _group_offers(job, offers):
        picked = _pick_within_zone_limit(job, group)
        if len(picked) == job.task_count and (not best or _max_cost(picked) < _max_cost(best)):
            best = picked
    return best


def _group_offers(job: Job, offers: list[Offer]) -> list[list[Offer]]:
    """Group the offers by shard and zone, by zone, and, unless `single_zone`, all together."""
    groups: dict[tuple[int, str] | str, list[Offer]] = {}
    for offer in offers:
        groups.setdefault((offer.shard, offer.zone), []).append(offer)
    for offer in offers:
        groups.setdefault(offer.zone, []).append(offer)
    if not job.single_zone:
        groups[ALL_ZONES] = offers
    return list(groups.values())


def _pick_within_zone_limit(job: Job, offers: list[Offer]) -> list[Offer]:
    """Return the first offers, up to the gang's size, that respect its limit of tasks per zone."""
    picked: list[Offer] = []
    picked_per_zone: dict[str, int] = {}
    for offer in offers:
        in_zone = picked_per_zone.get(offer.zone, 0)
        if in_zone < job.max_tasks_per_zone and len(picked) < job.task_count:
            picked.append(offer)
            picked_per_zone[offer.zone] = in_zone + 1
    return picked


def _max_cost(offers: list[Offer]) -> float:
    return max(offer.cost for offer in offers)
