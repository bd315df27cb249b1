"""The autoscaler: plans which machines to rent, drain and return. No I/O."""
