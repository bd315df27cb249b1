"""Taking machines out of service by order, within a budget of disruption for each team (docs/upkeep.md).

Orders and budgets are values, times are passed in; only `command`, the operators' side, does any I/O. Who asks is the owner,
who grants the team's source, who picks the machines the renter.
"""
