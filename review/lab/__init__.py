"""Stand-ins and helpers for the cases from 4 on: see `lab`."""
