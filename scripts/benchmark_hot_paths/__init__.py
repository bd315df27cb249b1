"""Processor time of the controller's hot paths, of this tree and an earlier revision.

- `messages`, `simulated_fleet`: what the measured code is given
- `heartbeat_benchmarks`, `scheduling_benchmarks`, `user_benchmarks`: the measured operations;
  `user_load`: store, cloud and user of the last ones, in a process of their own
- `operations`: all operations by name
- `revisions`: taking a revision out of git, and measuring a tree; `table`: the printed table
"""
