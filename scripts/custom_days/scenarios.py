"""Fault scenarios for days with three of them each (`scripts.custom_days --scenarios`).

A scenario is a schedule of faults with the seconds from its begin. The order of `SCENARIOS` and
`ADDITIONAL_FAULTS`, and of the draws within a scenario, decides which day a seed gives.
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
    """A zone with a controller is cut off for longer than a lease, and jobs are cancelled."""
    return [
        after(0.0, sample.zone_cut(sample.rng.choice([1.5, 3.0]) * sample.lease_s)),
        after(3.0, sample.cancellations()),
        after(4.0, sample.concurrent_reads()),
    ]


def new_machines_while_writes_lag(sample: JobFaultSampler) -> FaultSchedule:
    """Lost machines are replaced while writes lag, and the leader ends."""
    return [
        after(0.0, sample.machine_loss()),
        after(1.0, sample.arrival_burst(sample.array_class)),
        after(2.0, sample.late_writes(25.0)),
        after(8.0, sample.controller_crash(1)),
    ]


def quota_while_machines_hang(sample: JobFaultSampler) -> FaultSchedule:
    """More work than capacity; cancelled jobs' machines hang or don't receive; a failover."""
    return [
        after(0.0, sample.arrival_burst(sample.array_class)),
        after(10.0, sample.cancellations(hang=True)),
        after(10.0, sample.machines_not_receiving()),
        after(11.0, sample.controller_crash(1)),
    ]


def all_controllers_down_beyond_a_lease(sample: JobFaultSampler) -> FaultSchedule:
    """All controllers are down for longer than a lease."""
    crashes = [
        after(3.0 + index * 1.5, sample.controller_crash(sample.controller_count))
        for index in range(int(1.3 * sample.lease_s / 1.5))
    ]
    return [after(0.0, sample.concurrent_reads(60.0)), after(2.0, sample.cancellations()), *crashes]


def ten_failovers(sample: JobFaultSampler) -> FaultSchedule:
    """Ten failovers in two minutes, one store outage among them; late heartbeats."""
    crashes = [after(12.0 * index, sample.controller_crash(1)) for index in range(10)]
    return [
        after(0.0, sample.invalid_requests()),
        *crashes,
        after(40.0, sample.store_outage(15.0)),
        after(0.0, sample.late_heartbeats(SCENARIO_BACKGROUND_S, for_next_leader=True)),
    ]


def machines_not_sending_at_a_failover(sample: JobFaultSampler) -> FaultSchedule:
    """Machines that only direct commands reach, and a failover."""
    return [
        after(0.0, sample.machines_not_sending()),
        after(2.0, sample.cancellations()),
        after(4.0, sample.controller_crash(1)),
        after(4.0, sample.concurrent_reads()),
    ]


def machines_not_sending_and_lost_store_answers(sample: JobFaultSampler) -> FaultSchedule:
    """Machines don't send, answers of the store are lost, and a controller freezes."""
    return [
        after(0.0, sample.machines_not_sending()),
        after(1.0, sample.late_writes(at_once=True)),
        after(3.0, sample.controller_freeze()),
        after(8.0, sample.isolated_leader(8.0)),
    ]


def isolated_leader_and_cancellations_at_its_successor(sample: JobFaultSampler) -> FaultSchedule:
    """A leader that only its agents and users reach; jobs are cancelled through the next one."""
    return [
        after(0.0, sample.isolated_leader(40.0)),
        after(1.0, sample.cancellations()),
        after(9.0, sample.cancellations()),
        after(0.5, sample.concurrent_reads(50.0)),
    ]


def store_refuses_one_then_all(sample: JobFaultSampler) -> FaultSchedule:
    """Cancelled as the store refuses one; a second later an outage longer than `cancel_s`."""
    outage = sample.store_outage(sample.cancel_s + sample.rng.choice([4.0, 12.0]))
    return [
        after(0.0, sample.controller_cut(sample.rng.choice([2.0, 12.0]), from_state=True)),
        after(0.0, sample.cancellations()),
        after(1.0, outage),
        after(0.0, sample.concurrent_reads(60.0)),
    ]


def late_heartbeats_at_a_failover(sample: JobFaultSampler) -> FaultSchedule:
    """Old heartbeats are kept for the next leader, twice."""
    return [
        after(0.0, sample.late_heartbeats(for_next_leader=True)),
        after(3.0, sample.cancellations()),
        after(5.0, sample.controller_crash()),
        after(20.0, sample.controller_crash()),
    ]


def all_controllers_crash_one_returns(sample: JobFaultSampler) -> FaultSchedule:
    """All end, one returns and ends again, and then one after the other."""
    return [
        after(0.0, sample.late_heartbeats()),
        after(2.0, sample.controller_crash(sample.controller_count)),
        after(3.0, sample.controller_cut(8.0, from_state=True)),
        after(4.0, sample.controller_crash(1)),
        after(8.0, sample.rolling_restart()),
    ]


def late_heartbeats_of_earlier_incarnations(sample: JobFaultSampler) -> FaultSchedule:
    """Copies of heartbeats arrive after their agent's incarnation has ended."""
    return [
        after(0.0, sample.late_heartbeats(60.0)),
        after(2.0, sample.machines_not_receiving()),
        after(5.0, sample.machine_hang()),
        after(25.0, sample.controller_crash(1)),
    ]


def more_work_than_capacity(sample: JobFaultSampler) -> FaultSchedule:
    """More than the fleet holds, urgent and not, over slow controllers."""
    return [
        after(0.0, sample.arrival_burst(sample.array_class)),
        after(1.0, sample.arrival_burst(sample.service_class)),
        after(5.0, sample.slow_controllers()),
        after(15.0, sample.cancellations(hang=True)),
    ]


def slow_store_then_outage(sample: JobFaultSampler) -> FaultSchedule:
    """Writes lag, the store refuses one controller, then all, while users cancel and ask."""
    return [
        after(0.0, sample.late_writes(20.0)),
        after(3.0, sample.controller_cut(12.0, from_state=True)),
        after(6.0, sample.cancellations()),
        after(12.0, sample.store_outage(sample.cancel_s + 6.0)),
        after(0.0, sample.concurrent_reads(70.0)),
    ]


def cancellations_at_exit(sample: JobFaultSampler) -> FaultSchedule:
    """Cancellations, questions and repeated submissions at the end of jobs, no other fault."""
    return [
        after(0.0, sample.cancellations_at_exit(60.0)),
        after(0.0, sample.concurrent_reads(60.0)),
        after(10.0, sample.invalid_requests(50.0)),
    ]


def zone_loses_machines_twice(sample: JobFaultSampler) -> FaultSchedule:
    """Machines are lost twice, and a zone is cut off in between."""
    return [
        after(0.0, sample.machine_loss()),
        after(2.0, sample.zone_cut(sample.rng.choice([0.6, 1.5]) * sample.lease_s)),
        after(4.0, sample.machine_loss()),
        after(10.0, sample.cancellations()),
    ]


def failover_while_machines_do_not_receive(sample: JobFaultSampler) -> FaultSchedule:
    """Machines don't receive the new leader's answer."""
    return [
        after(0.0, sample.machines_not_receiving()),
        after(3.0, sample.controller_crash(1)),
        after(4.0, sample.machines_not_receiving()),
        after(4.0, sample.late_heartbeats()),
        after(6.0, sample.cancellations()),
    ]


def heartbeats_delayed_over_a_failover(sample: JobFaultSampler) -> FaultSchedule:
    """Heartbeats are delayed on their way, and kept for the next leader."""
    return [
        after(0.0, sample.controller_cut(12.0, "hold", from_workers=True)),
        after(2.0, sample.late_heartbeats(for_next_leader=True)),
        after(4.0, sample.machines_not_sending()),
        after(6.0, sample.controller_crash(1)),
    ]


def rolling_restart_while_writes_lag(sample: JobFaultSampler) -> FaultSchedule:
    """Controllers end one after the other while tasks end, and writes lag."""
    return [
        after(0.0, sample.rolling_restart(10.0)),
        after(5.0, sample.late_writes(30.0)),
        after(8.0, sample.cancellations_at_exit(60.0)),
        after(25.0, sample.isolated_leader(14.0)),
    ]


def lost_store_answers(sample: JobFaultSampler) -> FaultSchedule:
    """Only the answers of transactions are lost, while users cancel and ask."""
    return [
        after(0.0, sample.late_writes(45.0, at_once=True)),
        after(5.0, sample.cancellations()),
        after(8.0, sample.concurrent_reads()),
        after(20.0, sample.controller_crash(1)),
    ]


def lost_store_answers_at_a_failover(sample: JobFaultSampler) -> FaultSchedule:
    """The same while a shard changes its leader."""
    return [
        after(0.0, sample.late_writes(40.0, at_once=True)),
        after(3.0, sample.isolated_leader(14.0)),
        after(6.0, sample.cancellations()),
        after(6.0, sample.late_heartbeats(for_next_leader=True)),
    ]


def reordered_writes(sample: JobFaultSampler) -> FaultSchedule:
    """Transactions are applied after newer ones, over a crash and an outage."""
    return [
        after(0.0, sample.late_writes(40.0)),
        after(0.0, sample.late_heartbeats()),
        after(4.0, sample.controller_crash()),
        after(6.0, sample.store_outage(5.0)),
        after(14.0, sample.cancellations()),
    ]


def delayed_commands(sample: JobFaultSampler) -> FaultSchedule:
    """Commands and answers are delayed for seconds, and machines hang."""
    return [
        after(0.0, sample.controller_cut(10.0, "hold", from_workers=True)),
        after(1.0, sample.machine_hang()),
        after(2.0, sample.cancellations(hang=True)),
    ]


def concurrent_reads(sample: JobFaultSampler) -> FaultSchedule:
    """Users ask everywhere around acceptance, end and cancellation; the store refuses one."""
    return [
        after(0.0, sample.late_writes(at_once=True)),
        after(0.0, sample.concurrent_reads(60.0)),
        after(2.0, sample.cancellations()),
        after(5.0, sample.cancellations_at_exit()),
        after(12.0, sample.controller_cut(8.0, from_state=True)),
        after(13.0, sample.cancellations()),
    ]


def quota_at_a_failover(sample: JobFaultSampler) -> FaultSchedule:
    """Machines don't send, and a failover and a cancellation meet."""
    return [
        after(0.0, sample.arrival_burst(sample.array_class)),
        after(12.0, sample.machines_not_sending()),
        after(13.0, sample.controller_crash(1)),
        after(14.0, sample.cancellations(hang=True)),
        after(14.0, sample.invalid_requests()),
    ]


def cancellations_during_failovers(sample: JobFaultSampler) -> FaultSchedule:
    """Cancelled in the seconds in which a shard changes its leader."""
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
# One of these is drawn on top of a scenario now and then
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
