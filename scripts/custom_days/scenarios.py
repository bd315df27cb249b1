"""Fault scenarios for days with three of them each (`scripts.custom_days --scenarios`).

A scenario is a schedule of faults with offsets in seconds from its start. The order of
`SCENARIOS` and `ADDITIONAL_FAULTS`, and of the draws within a scenario, decides which day a seed
gives.
"""

from __future__ import annotations

from collections.abc import Callable

from scripts.custom_days.faults import (
    SCENARIO_BACKGROUND_S,
    Fault,
    FaultSchedule,
    JobFaultSampler,
    after,
)

Scenario = Callable[[JobFaultSampler], FaultSchedule]


def zone_cut_longer_than_a_lease(sample: JobFaultSampler) -> FaultSchedule:
    """Cut off a zone with a controller for longer than a lease, and cancel jobs."""
    return [
        after(0.0, sample.zone_cut(sample.rng.choice([1.5, 3.0]) * sample.lease_s)),
        after(3.0, sample.cancellations()),
        after(4.0, sample.concurrent_reads()),
    ]


def new_machines_while_writes_lag(sample: JobFaultSampler) -> FaultSchedule:
    """Replace lost machines while writes lag, and crash the leader."""
    return [
        after(0.0, sample.machine_loss()),
        after(1.0, sample.arrival_burst(sample.array_class)),
        after(2.0, sample.late_writes(25.0)),
        after(8.0, sample.controller_crash(1)),
    ]


def quota_while_machines_hang(sample: JobFaultSampler) -> FaultSchedule:
    """Submit more work than capacity, with a failover.

    Meanwhile machines of cancelled jobs hang, and machines don't receive.
    """
    return [
        after(0.0, sample.arrival_burst(sample.array_class)),
        after(10.0, sample.cancellations(hang=True)),
        after(10.0, sample.machines_not_receiving()),
        after(11.0, sample.controller_crash(1)),
    ]


def all_controllers_down_beyond_a_lease(sample: JobFaultSampler) -> FaultSchedule:
    """Keep all controllers down for longer than a lease."""
    crashes = [
        after(3.0 + index * 1.5, sample.controller_crash(sample.controller_count))
        for index in range(int(1.3 * sample.lease_s / 1.5))
    ]
    return [after(0.0, sample.concurrent_reads(60.0)), after(2.0, sample.cancellations()), *crashes]


def ten_failovers(sample: JobFaultSampler) -> FaultSchedule:
    """Force ten failovers in two minutes with one store outage and late heartbeats."""
    crashes = [after(12.0 * index, sample.controller_crash(1)) for index in range(10)]
    return [
        after(0.0, sample.invalid_requests()),
        *crashes,
        after(40.0, sample.store_outage(15.0)),
        after(0.0, sample.late_heartbeats(SCENARIO_BACKGROUND_S, for_next_leader=True)),
    ]


def machines_not_sending_at_a_failover(sample: JobFaultSampler) -> FaultSchedule:
    """Force a failover while only direct commands reach some machines."""
    return [
        after(0.0, sample.machines_not_sending()),
        after(2.0, sample.cancellations()),
        after(4.0, sample.controller_crash(1)),
        after(4.0, sample.concurrent_reads()),
    ]


def machines_not_sending_and_lost_store_answers(sample: JobFaultSampler) -> FaultSchedule:
    """Freeze a controller while machines don't send.

    Answers of the store are lost meanwhile.
    """
    return [
        after(0.0, sample.machines_not_sending()),
        after(1.0, sample.late_writes(at_once=True)),
        after(3.0, sample.controller_freeze()),
        after(8.0, sample.isolated_leader(8.0)),
    ]


def isolated_leader_and_cancellations_at_its_successor(sample: JobFaultSampler) -> FaultSchedule:
    """Isolate a leader and cancel jobs through its successor.

    Only its agents and users reach the isolated leader.
    """
    return [
        after(0.0, sample.isolated_leader(40.0)),
        after(1.0, sample.cancellations()),
        after(9.0, sample.cancellations()),
        after(0.5, sample.concurrent_reads(50.0)),
    ]


def store_refuses_one_then_all(sample: JobFaultSampler) -> FaultSchedule:
    """Cancel jobs while the store refuses one controller, then all.

    The store outage begins a second later and lasts longer than `cancel_s`.
    """
    outage = sample.store_outage(sample.cancel_s + sample.rng.choice([4.0, 12.0]))
    return [
        after(0.0, sample.controller_cut(sample.rng.choice([2.0, 12.0]), from_state=True)),
        after(0.0, sample.cancellations()),
        after(1.0, outage),
        after(0.0, sample.concurrent_reads(60.0)),
    ]


def late_heartbeats_at_a_failover(sample: JobFaultSampler) -> FaultSchedule:
    """Hold back old heartbeats for the next leader, over two failovers."""
    return [
        after(0.0, sample.late_heartbeats(for_next_leader=True)),
        after(3.0, sample.cancellations()),
        after(5.0, sample.controller_crash()),
        after(20.0, sample.controller_crash()),
    ]


def all_controllers_crash_one_returns(sample: JobFaultSampler) -> FaultSchedule:
    """Crash all controllers, then the one that returned.

    After that the controllers are restarted one after the other.
    """
    return [
        after(0.0, sample.late_heartbeats()),
        after(2.0, sample.controller_crash(sample.controller_count)),
        after(3.0, sample.controller_cut(8.0, from_state=True)),
        after(4.0, sample.controller_crash(1)),
        after(8.0, sample.rolling_restart()),
    ]


def late_heartbeats_of_earlier_incarnations(sample: JobFaultSampler) -> FaultSchedule:
    """Deliver copies of heartbeats after their agent's incarnation has ended."""
    return [
        after(0.0, sample.late_heartbeats(60.0)),
        after(2.0, sample.machines_not_receiving()),
        after(5.0, sample.machine_hang()),
        after(25.0, sample.controller_crash(1)),
    ]


def more_work_than_capacity(sample: JobFaultSampler) -> FaultSchedule:
    """Submit more work than the fleet holds, urgent or not, to slow controllers."""
    return [
        after(0.0, sample.arrival_burst(sample.array_class)),
        after(1.0, sample.arrival_burst(sample.service_class)),
        after(5.0, sample.slow_controllers()),
        after(15.0, sample.cancellations(hang=True)),
    ]


def slow_store_then_outage(sample: JobFaultSampler) -> FaultSchedule:
    """Delay writes, then let the store refuse one controller, then all.

    Meanwhile users cancel jobs and ask about them.
    """
    return [
        after(0.0, sample.late_writes(20.0)),
        after(3.0, sample.controller_cut(12.0, from_state=True)),
        after(6.0, sample.cancellations()),
        after(12.0, sample.store_outage(sample.cancel_s + 6.0)),
        after(0.0, sample.concurrent_reads(70.0)),
    ]


def cancellations_at_exit(sample: JobFaultSampler) -> FaultSchedule:
    """Cancel, query and resubmit jobs at the moment when they end.

    There is no other fault.
    """
    return [
        after(0.0, sample.cancellations_at_exit(60.0)),
        after(0.0, sample.concurrent_reads(60.0)),
        after(10.0, sample.invalid_requests(50.0)),
    ]


def zone_loses_machines_twice(sample: JobFaultSampler) -> FaultSchedule:
    """Lose machines twice, with a zone cut in between."""
    return [
        after(0.0, sample.machine_loss()),
        after(2.0, sample.zone_cut(sample.rng.choice([0.6, 1.5]) * sample.lease_s)),
        after(4.0, sample.machine_loss()),
        after(10.0, sample.cancellations()),
    ]


def failover_while_machines_do_not_receive(sample: JobFaultSampler) -> FaultSchedule:
    """Force a failover while machines don't receive the new leader's answer."""
    return [
        after(0.0, sample.machines_not_receiving()),
        after(3.0, sample.controller_crash(1)),
        after(4.0, sample.machines_not_receiving()),
        after(4.0, sample.late_heartbeats()),
        after(6.0, sample.cancellations()),
    ]


def heartbeats_delayed_over_a_failover(sample: JobFaultSampler) -> FaultSchedule:
    """Delay heartbeats in transit, and hold some back for the next leader."""
    return [
        after(0.0, sample.controller_cut(12.0, "hold", from_workers=True)),
        after(2.0, sample.late_heartbeats(for_next_leader=True)),
        after(4.0, sample.machines_not_sending()),
        after(6.0, sample.controller_crash(1)),
    ]


def rolling_restart_while_writes_lag(sample: JobFaultSampler) -> FaultSchedule:
    """Restart controllers one after the other while tasks end and writes lag."""
    return [
        after(0.0, sample.rolling_restart(10.0)),
        after(5.0, sample.late_writes(30.0)),
        after(8.0, sample.cancellations_at_exit(60.0)),
        after(25.0, sample.isolated_leader(14.0)),
    ]


def lost_store_answers(sample: JobFaultSampler) -> FaultSchedule:
    """Lose only the answers of transactions while users cancel jobs and ask about them."""
    return [
        after(0.0, sample.late_writes(45.0, at_once=True)),
        after(5.0, sample.cancellations()),
        after(8.0, sample.concurrent_reads()),
        after(20.0, sample.controller_crash(1)),
    ]


def lost_store_answers_at_a_failover(sample: JobFaultSampler) -> FaultSchedule:
    """Lose only the answers of transactions while a shard changes its leader.

    Users cancel jobs meanwhile, and heartbeats are held back for the next leader.
    """
    return [
        after(0.0, sample.late_writes(40.0, at_once=True)),
        after(3.0, sample.isolated_leader(14.0)),
        after(6.0, sample.cancellations()),
        after(6.0, sample.late_heartbeats(for_next_leader=True)),
    ]


def reordered_writes(sample: JobFaultSampler) -> FaultSchedule:
    """Apply transactions after newer ones, across a crash and an outage."""
    return [
        after(0.0, sample.late_writes(40.0)),
        after(0.0, sample.late_heartbeats()),
        after(4.0, sample.controller_crash()),
        after(6.0, sample.store_outage(5.0)),
        after(14.0, sample.cancellations()),
    ]


def delayed_commands(sample: JobFaultSampler) -> FaultSchedule:
    """Delay commands and answers for seconds while machines hang."""
    return [
        after(0.0, sample.controller_cut(10.0, "hold", from_workers=True)),
        after(1.0, sample.machine_hang()),
        after(2.0, sample.cancellations(hang=True)),
    ]


def concurrent_reads(sample: JobFaultSampler) -> FaultSchedule:
    """Query all controllers while jobs are accepted, end and are cancelled.

    The store refuses one controller meanwhile.
    """
    return [
        after(0.0, sample.late_writes(at_once=True)),
        after(0.0, sample.concurrent_reads(60.0)),
        after(2.0, sample.cancellations()),
        after(5.0, sample.cancellations_at_exit()),
        after(12.0, sample.controller_cut(8.0, from_state=True)),
        after(13.0, sample.cancellations()),
    ]


def quota_at_a_failover(sample: JobFaultSampler) -> FaultSchedule:
    """Cancel jobs during a failover while machines don't send."""
    return [
        after(0.0, sample.arrival_burst(sample.array_class)),
        after(12.0, sample.machines_not_sending()),
        after(13.0, sample.controller_crash(1)),
        after(14.0, sample.cancellations(hang=True)),
        after(14.0, sample.invalid_requests()),
    ]


def cancellations_during_failovers(sample: JobFaultSampler) -> FaultSchedule:
    """Cancel jobs in the seconds in which a shard changes its leader."""
    interval_s = sample.rng.choice([2.0, 10.0])
    return [
        after(0.0, sample.rolling_restart(interval_s)),
        *(
            after(0.7 * interval_s + interval_s * index, sample.cancellations())
            for index in range(3)
        ),
        after(0.0, sample.concurrent_reads(30.0)),
    ]


SCENARIOS: tuple[Scenario, ...] = (
    zone_cut_longer_than_a_lease,
    new_machines_while_writes_lag,
    quota_while_machines_hang,
    all_controllers_down_beyond_a_lease,
    ten_failovers,
    machines_not_sending_at_a_failover,
    machines_not_sending_and_lost_store_answers,
    isolated_leader_and_cancellations_at_its_successor,
    store_refuses_one_then_all,
    late_heartbeats_at_a_failover,
    all_controllers_crash_one_returns,
    late_heartbeats_of_earlier_incarnations,
    more_work_than_capacity,
    slow_store_then_outage,
    cancellations_at_exit,
    zone_loses_machines_twice,
    failover_while_machines_do_not_receive,
    heartbeats_delayed_over_a_failover,
    rolling_restart_while_writes_lag,
    lost_store_answers,
    lost_store_answers_at_a_failover,
    reordered_writes,
    delayed_commands,
    concurrent_reads,
    quota_at_a_failover,
    cancellations_during_failovers,
)
# One of these is sometimes drawn in addition to a scenario's faults
ADDITIONAL_FAULTS: tuple[Callable[[JobFaultSampler], Fault], ...] = (
    JobFaultSampler.late_writes,
    JobFaultSampler.late_heartbeats,
    JobFaultSampler.machines_not_receiving,
    JobFaultSampler.machines_not_sending,
    JobFaultSampler.machine_hang,
    JobFaultSampler.controller_crash,
    JobFaultSampler.controller_freeze,
    JobFaultSampler.isolated_leader,
    JobFaultSampler.cancellations,
    JobFaultSampler.cancellations_at_exit,
    JobFaultSampler.concurrent_reads,
    JobFaultSampler.invalid_requests,
)
