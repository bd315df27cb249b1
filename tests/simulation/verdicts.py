"""Checks at the end of a scene, based on what the users and machines of a cluster observed."""

from __future__ import annotations

from .users import SimulatedUsers

SERVED_WITHIN_S = 30.0  # a job submitted longer ago than this should be served
LARGEST_BEGIN_S = 240.0  # limit from the acceptance of one of the largest jobs until it begins
LARGEST_AT_LEAST = 3


def check(cluster: SimulatedUsers) -> None:
    """Check that no rule was broken, and that half of each team's and class's jobs were served.

    Raises:
        AssertionError: a check failed.
    """
    check_rules(cluster)
    for group in ("team", "job_class"):
        _check_shares(cluster, group)
    check_accepted(cluster)
    check_largest(cluster)


def check_rules(cluster: SimulatedUsers) -> None:
    """Check that no rule was broken, and that every attempt that counted as gone was gone.

    Raises:
        AssertionError: a check failed.
    """
    broken = cluster.broken + cluster.fleet.broken
    assert not broken, broken[:3]
    wrong = cluster.gone_verdicts.wrong
    assert not wrong, wrong[:3]


def _check_shares(cluster: SimulatedUsers, group: str) -> None:
    shares: dict[str, list[bool]] = {}
    for job_id, spec in cluster.specs.items():
        if _should_be_served(cluster, job_id) and job_id not in cluster.cancelled:
            shares.setdefault(getattr(spec, group), []).append(cluster.served(job_id))
    for name, served in shares.items():
        assert 2 * sum(served) >= len(served), (
            f"{group} {name}: {sum(served)} of {len(served)} served"
        )


def _should_be_served(cluster: SimulatedUsers, job_id: str) -> bool:
    return cluster.now - cluster.asked[job_id].at > SERVED_WITHIN_S


def check_accepted(cluster: SimulatedUsers) -> None:
    """Check that no accepted job lacks a field or can't run."""
    invalid = [
        (job_id, reason)
        for job_id, job in cluster.asked.items()
        if job.accepted is not None
        and (reason := cluster.rejection_reason(cluster.bodies[job_id])) is not None
    ]
    assert not invalid, f"accepted though it can't run: {invalid[:3]}"


def check_largest(cluster: SimulatedUsers) -> None:
    """Check the largest accepted jobs of each class: half served, each begun within 240 s.

    The largest jobs are the tenth with the most tasks, at least three, as scripts.served_by_class
    counts them. Jobs whose users gave up in an outage before acceptance are only counted with their
    class and team.
    """
    classes: dict[str, list[str]] = {}
    for job_id, spec in cluster.specs.items():
        if job_id not in cluster.cancelled and cluster.asked[job_id].accepted is not None:
            classes.setdefault(spec.job_class, []).append(job_id)
    for name, job_ids in classes.items():
        largest = _largest(cluster, job_ids)
        due = [job_id for job_id in largest if _should_be_served(cluster, job_id)]
        served = sum(cluster.served(job_id) for job_id in due)
        assert 2 * served >= len(due), f"largest of {name}: {served} of {len(due)} served"
        for job_id in largest:
            _check_begun_in_time(cluster, name, job_id)


def _largest(cluster: SimulatedUsers, job_ids: list[str]) -> list[str]:
    """Return the tenth with the most tasks, at least three; of equal jobs the earlier ones."""
    ranked = sorted(
        job_ids, key=lambda job_id: (-cluster.specs[job_id].task_count, cluster.asked[job_id].at)
    )
    tenth = -(-len(job_ids) // 10)
    return ranked[: max(LARGEST_AT_LEAST, tenth)]


def _check_begun_in_time(cluster: SimulatedUsers, class_name: str, job_id: str) -> None:
    accepted, begun = cluster.asked[job_id].accepted, cluster.begun_at(job_id)
    until = cluster.now if begun is None else begun
    late = accepted is not None and until - accepted > LARGEST_BEGIN_S
    assert not late, f"largest of {class_name}: {job_id} accepted at {accepted} began at {begun}"
