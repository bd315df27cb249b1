"""Measure the processor time of the controller's hot paths, in this tree and an earlier revision.

- `messages`, `simulated_fleet`: the inputs of the measured code
- `heartbeat_benchmarks`, `scheduling_benchmarks`, `user_benchmarks`: the measured operations;
  `user_load`: the store, cloud and user of `user_benchmarks`, in a process of their own
- `operations`: all operations by name
- `revisions`: extract a revision from git and measure a tree; `table`: the printed table
"""
