"""Simulated clusters for the tests, in virtual time.

Whole controllers: `scene` runs a scene on a `cluster`, which is a `deployment` (controllers and
fakes over a `simulated_network`, on the loop of `virtual_time`) with `machine_faults` and `users`;
`verdicts`, `waiting_jobs` and `task_rules` judge it. `fault_schedules` draws many faults that
overlap.

The decisions alone: `decision_model`, with the modules `model_*` and `event_queue`.
"""
