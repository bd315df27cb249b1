"""Simulated clusters for the tests, in virtual time.

Two kinds of simulation exist:

Whole controllers: `scene` runs a test's scenario on a `cluster`. A cluster is a `deployment`
(controllers and fake services over a `simulated_network`, on the event loop of `virtual_time`) with
`machine_faults` and `users`. `verdicts`, `waiting_jobs` and `task_rules` check the outcome.
`fault_schedules` draws schedules of many overlapping faults.

The scheduling decisions alone: `decision_model`, with the modules `model_*` and `event_queue`.
"""
