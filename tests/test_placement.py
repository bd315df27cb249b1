"""Test candidates that wait for capacity: what a placement pass reserves, and what it costs."""

from __future__ import annotations

from random import Random

from ploverhall.protocol.agents import AttemptId, TaskStatus
from ploverhall.protocol.jobs import Job
from ploverhall.protocol.peer_messages import CandidateUpdate
from ploverhall.scheduling.inventory import Inventory
from ploverhall.scheduling.machines import JobTraits, Machine, Permit
from ploverhall.scheduling.placement import Placement
from ploverhall.scheduling.reservations import CandidateRequest
from ploverhall.scheduling.resources import add_scaled, fits

from .job_sources import a_job
from .simulation.parameters import MACHINE_TYPE


def placement_on_machines(n: int, now: float = 0.0) -> Placement:
    f = Inventory(1.0)
    f.machine_types = {"t": MACHINE_TYPE}
    for i in range(n):
        add_machine(f, i, now)
    return Placement(f, 5.0, 5, Random(1))


def add_machine(f: Inventory, i: int, now: float) -> None:
    m = Machine(f"n-{i}", "x:1", "t", "a", False, 0, accepted_token=True, last_heartbeat_at=now)
    f.machines[m.name] = m
    f.mark_changed(m)


def gang(p: Placement, jid: str, n: int, rank: int, due: float) -> Job:
    job = a_job(
        jid, kind="gang", task_count=n, cpus=14.0, gpus=4.0, single_zone=True, priority=rank
    )
    p.inventory.job_traits[jid] = JobTraits(rank, True, "t", "gang", 0.0, 0.0, False)
    p.request(0, job, CandidateUpdate(n, [1.0, 0.0, float(rank), due], {"a": n, "b": n}, []), True)
    return job


def step(p: Placement, now: float) -> None:
    p.inventory.refresh_changed(now)
    p.place_waiting(now)


def reservation_counts(p: Placement) -> dict[str, int]:
    return {j: len(t) for j, t in p.reservations.by_job.items()}


def test_gangs_do_not_hold_partial_reservations_against_one_another() -> None:
    p = placement_on_machines(6)
    gang(p, "j-000001", 8, 2, 100.0)
    gang(p, "j-000002", 4, 2, 200.0)
    step(p, 0.0)
    assert reservation_counts(p) == {"j-000001": 6}, (
        "the first gang must keep its partial reservations, or it would starve"
    )
    gang(p, "j-000003", 7, 1, 300.0)  # higher priority: the partial reservations become its own
    for k in range(1, 40):
        for m in p.inventory.machines.values():
            m.last_heartbeat_at = 0.1 * k
        p.reservations.expire(0.1 * k)
        step(p, 0.1 * k)
    assert reservation_counts(p) == {"j-000003": 6}
    assert len(p.reservations.queue.entries) == len(set(p.reservations.queue.entries)) == 3, (
        "a job is queued more than once; a second entry outlived its job and stopped the engine"
    )
    for jid in ("j-000003", "j-000001"):
        p.cancel(jid)
    step(p, 4.1)
    assert (
        reservation_counts(p) == {"j-000002": 4}
        and p.reservations.queue.entries == []
        and p.gangs.partial_gang is None
    )


def test_reservations_being_permitted_are_exclusive() -> None:
    p = placement_on_machines(6)
    job = gang(p, "j-000001", 8, 2, 100.0)
    step(p, 0.0)
    p.request(
        0, job, CandidateUpdate(6, [1.0, 0.0, 2.0, 100.0], {"a": 8, "b": 8}, []), True
    )  # permits of six tasks here and two elsewhere are being written
    gang(p, "j-000002", 8, 1, 50.0)
    step(p, 0.1)
    step(p, 0.4)
    assert reservation_counts(p) == {"j-000001": 6}
    assert [j for _, j in p.reservations.queue.entries] == ["j-000002"]


def test_replica_preempts_recently_started_task_on_machine_with_its_image() -> None:
    """Free capacity is on newly booted machines; the image is on machines where tasks run."""
    for ran_s, expected_machine in ((1.0, "n-0"), (60.0, "n-1")):
        p = placement_on_machines(2)
        warm = p.inventory.machines["n-0"]
        p.inventory.record_image(warm, "i", 5.0)
        p.inventory.job_traits["j-000009"] = JobTraits(2, False, "u", "array", 0.0, 0.0, True)
        key = AttemptId("j-000009", 0, 1)
        warm.permits[key] = Permit(
            key,
            0,
            "n-0",
            1,
            1,
            (16.0, 4.0, 64.0),
            "k",
            1.0,
            run_token=1,
            running_since=100.0 - ran_s,
        )
        warm.tasks[key] = TaskStatus("running", "", False)
        for m in p.inventory.machines.values():
            m.last_heartbeat_at = 100.0
        job = a_job("j-000001", kind="service", task_count=1, priority=0, image_gb=8.0)
        p.request(0, job, CandidateUpdate(1, [0.0], None, []), True)
        step(p, 100.0)
        (t,) = p.reservations.by_job["j-000001"].values()
        assert t.machine == expected_machine and t.victims == (
            (key,) if expected_machine == "n-0" else ()
        )


def test_pass_cost_depends_on_changes_and_not_on_fleet_or_backlog() -> None:
    """Counts the machines examined, not time, when one more candidate arrives and one machine
    becomes free.
    """
    refresh_counts = []
    for size in (50, 500):
        p = placement_on_machines(size)
        for i in range(size // 5):
            gang(p, f"j-{i:06d}", 4, 2, float(i))
            step(p, 0.0)
        step(p, 0.0)
        before = p.inventory.refresh_count
        gang(p, "j-900000", 1, 2, 1e6)
        add_machine(p.inventory, size, 0.0)
        step(p, 0.0)
        step(p, 0.0)
        assert reservation_counts(p)["j-900000"] == 1
        refresh_counts.append(p.inventory.refresh_count - before)
    assert refresh_counts[1] <= 2 * refresh_counts[0]


def test_cpu_tasks_do_not_check_machines_without_free_cores() -> None:
    """A guest submits tiny tasks while all cores are in use and some accelerators are free."""
    check_counts = []
    for size in (40, 400):
        p = placement_on_machines(size)
        for i, m in enumerate(p.inventory.machines.values()):
            key = AttemptId("j-000009", i, 1)
            m.permits[key] = Permit(
                key, 0, m.name, 1, 1, (16.0 if i else 12.0, 2.0, 8.0), "k", 1.0, run_token=1
            )
        job = a_job("j-000001", task_count=30, cpus=0.25, gpus=0.0, memory_gb=0.5, priority=3)
        p.inventory.job_traits[job.id] = JobTraits(3, False, "guest", "array", 0.0, 0.0, True)
        p.request(0, job, CandidateUpdate(30, [1.0], None, []), False)
        step(p, 0.0)
        assert reservation_counts(p) == {"j-000001": 16}, (
            "only one machine has free cores, four of them"
        )
        check_counts.append(p.inventory.fit_checks)
    assert check_counts[1] == check_counts[0] < 40


def add_task(
    p: Placement, m: Machine, job: str, attempt: int, vec: tuple[float, float, float]
) -> None:
    """Add a running task to a machine."""
    key = AttemptId(job, attempt, attempt)
    m.permits[key] = Permit(key, 0, m.name, 1, 1, vec, "k", 1.0, run_token=1, running_since=0.0)
    m.tasks[key] = TaskStatus("running", "", False)
    p.inventory.mark_changed(m)


def preemption_would_fit(p: Placement, w: CandidateRequest, m: Machine) -> bool:
    """Return whether preempting everything preemptible on a machine makes a candidate fit.

    This is the reference for the real search; tasks that are reserved or being stopped count once.
    """
    capacity, any_preemptible = p.inventory.free_capacity(m), False
    for key, permit in m.permits.items():
        info = p.inventory.job_traits[key.job_id]
        preemptible = info.priority > w.job.priority or (
            w.within_guarantee
            and not info.within_guarantee
            and info.team != w.job.team
            and info.kind == "array"
        )
        if (
            preemptible
            and info.priority > 0
            and info.kind != "service"
            and permit.stop_grace_s is None
            and m.tasks[key].state == "running"
        ):
            capacity, any_preemptible = add_scaled(capacity, permit.resources), True
    return any_preemptible and fits(w.job.resources, capacity) and m.pool[1] == "a"


def test_waiting_job_has_no_placement_that_an_exhaustive_search_finds() -> None:
    """Machines, tasks and guarantees change at random; a failed search is repeated only for
    machines that have gained capacity or preemptible tasks.
    """
    found = 0
    for seed in range(30):
        rng = Random(seed)
        p = placement_on_machines(8)
        kinds = [
            ("u", 2, True, "array"),
            ("u", 2, False, "array"),
            ("t", 3, False, "array"),
            ("u", 1, False, "gang"),
            ("u", 0, True, "service"),
        ]
        for i, (team, rank, within, kind) in enumerate(kinds):
            p.inventory.job_traits[f"j-{i}"] = JobTraits(rank, within, team, kind, 0.0, 0.0, False)
        n, now = 0, 0.0
        for _ in range(60):
            now += 0.3
            m = rng.choice(list(p.inventory.machines.values()))
            for other in p.inventory.machines.values():
                other.last_heartbeat_at = now
            action = rng.randrange(4)
            free = p.inventory.free_capacity(m)
            vec = rng.choice([(4.0, 1.0, 8.0), (8.0, 2.0, 8.0), (16.0, 4.0, 8.0)])
            if action <= 1 and fits(vec, free):
                n += 1
                add_task(p, m, f"j-{rng.randrange(len(kinds))}", n, vec)
            elif action == 2 and m.permits:
                key = rng.choice(list(m.permits))
                del m.permits[key], m.tasks[key]
                p.inventory.mark_changed(m)
            elif action == 3:
                jid = f"j-{rng.randrange(2)}"
                p.inventory.job_traits[jid].within_guarantee = not p.inventory.job_traits[
                    jid
                ].within_guarantee
                for other in p.inventory.machines.values():
                    p.inventory.mark_changed(other)
            if rng.random() < 0.3:
                n += 1
                job = a_job(
                    f"j-9{n:05d}", task_count=1, cpus=8.0, gpus=2.0, priority=2, memory_gb=1.0
                )
                p.inventory.job_traits[job.id] = JobTraits(2, True, "t", "array", 0.0, 0.0, False)
                p.request(0, job, CandidateUpdate(1, [1.0, float(n)], None, []), True)
            # The periodic full pass would hide what the index missed
            p.next_revisit_at = now + 99.0
            p.next_preemption_at = now
            p.reservations.expire(now)
            step(p, now)
            taken = p.preemption.victims_in_progress()
            for _, jid in p.reservations.queue.entries:
                if not p.reservations.by_job.get(jid):
                    w = p.reservations.requests[jid]
                    idle = [
                        m
                        for m in p.inventory.machines.values()
                        if not taken & m.permits.keys() and not m.reservations
                    ]
                    ways = [m.name for m in idle if preemption_would_fit(p, w, m)]
                    assert not ways, f"seed {seed}: {jid} could preempt tasks on {ways}"
            found += len(p.reservations.preempting)
    assert found > 50


def test_failed_preemption_is_retried_only_on_machines_with_new_work() -> None:
    """Counts checks, not time: every quarter of a second, each waiting candidate examined every
    machine with tasks of lower priority.
    """
    ways = []
    for size in (40, 400):
        p = placement_on_machines(size)
        p.inventory.job_traits["j-1"] = JobTraits(3, False, "u", "array", 0.0, 0.0, False)
        p.inventory.job_traits["j-2"] = JobTraits(0, True, "u", "service", 0.0, 0.0, False)
        for i, m in enumerate(p.inventory.machines.values()):
            add_task(p, m, "j-1", i, (2.0, 1.0, 8.0))  # may be preempted, but is not enough
            add_task(p, m, "j-2", i, (14.0, 3.0, 8.0))
        for i in range(5):
            job = a_job(
                f"j-{900000 + i}", task_count=3, cpus=14.0, gpus=4.0, priority=1, memory_gb=1.0
            )
            p.request(0, job, CandidateUpdate(3, [1.0, float(i)], None, []), True)
        step(p, 0.0)
        p.next_revisit_at = 99.0
        before = p.preemption.checks
        for k in range(1, 9):
            now = 0.3 * k
            for m in p.inventory.machines.values():
                m.last_heartbeat_at = now
            add_task(p, p.inventory.machines["n-7"], "j-1", 1000 + k, (0.1, 0.0, 0.1))
            step(p, now)
        assert not p.reservations.by_job
        ways.append(p.preemption.checks - before)
    assert ways[0] == ways[1] == 5 * 8


def test_machines_with_the_image_are_tried_before_a_sample_of_the_others() -> None:
    """One machine in a hundred held the image: a sample of sixty-four mostly missed it, and the
    replica fetched the image (ardgael-loans-fleet restart).
    """
    for seed in range(6):
        p = placement_on_machines(300)
        p.free_capacity.random = p.preemption.random = Random(seed)
        p.inventory.job_traits["j-1"] = JobTraits(3, False, "u", "array", 0.0, 0.0, False)
        for i, m in enumerate(p.inventory.machines.values()):
            add_task(p, m, "j-1", i, (16.0, 4.0, 8.0))
        for name in ("n-17", "n-171", "n-299"):
            p.inventory.record_image(p.inventory.machines[name], "img", 4.0)
        job = a_job(
            "j-900000",
            kind="service",
            task_count=2,
            cpus=5.0,
            gpus=1.0,
            priority=0,
            memory_gb=1.0,
            image="img",
            image_gb=4.0,
        )
        p.request(0, job, CandidateUpdate(2, [0.0, 0.0], None, []), True)
        step(p, 0.0)
        step(p, 0.3)
        machines = {t.machine for t in p.reservations.by_job["j-900000"].values()}
        assert len(machines) == 2 and machines < {"n-17", "n-171", "n-299"}, machines


def test_single_zone_gang_preempts_in_the_zone_with_most_preemptible_work() -> None:
    """Zone b, the last by name, has one machine, zone a four, all full of preemptible arrays."""
    p = placement_on_machines(5)
    p.inventory.machines["n-4"].zone = "b"
    vec = (16.0, 4.0, 128.0)
    for i, m in enumerate(p.inventory.machines.values()):
        p.inventory.job_traits[f"j-1{i:05d}"] = JobTraits(3, False, "t", "array", 0.0, 0.0, True)
        add_task(p, m, f"j-1{i:05d}", 1, vec)
    gang(p, "j-000001", 3, 1, 100.0)
    step(p, 0.0)
    assert reservation_counts(p) == {"j-000001": 3}
    assert {
        p.inventory.machines[t.machine].zone for t in p.reservations.by_job["j-000001"].values()
    } == {"a"}
