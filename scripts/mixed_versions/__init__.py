"""Test a rolling upgrade from an earlier revision on loopback, and a downgrade of one controller.

- `controllers`: the controller processes, each in one of two versions
- `clients`: requests to the controllers; `users`: jobs, and the answers that users got about them
- `rolling_upgrade`: the cluster, its checks and the order of restarts
"""
