"""Hypothesis draws its examples from the test's own name and stores none, so every run is the same."""

import pytest
from hypothesis import settings

# Failed assertions in these helpers are explained like those in test modules
pytest.register_assert_rewrite("tests.store_fault_steps")

settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")
