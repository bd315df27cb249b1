"""Simulated clusters for the tests: whole controllers, or their decisions alone, in virtual time."""
