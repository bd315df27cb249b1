"""A rolling upgrade on loopback from an earlier revision, and one controller back.

- `controllers`: the controller processes, each in one of two versions
- `clients`: requests to them; `users`: jobs, and what users were told of them
- `rolling_upgrade`: the cluster, its checks and the order of restarts
"""
