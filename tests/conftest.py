"""Configure hypothesis for repeatable runs.

Examples are derived from the test itself, and none are stored, so every run draws the same ones.
"""

import pytest
from hypothesis import settings

# Show the values of failed assertions in this helper module as in test modules
pytest.register_assert_rewrite("tests.store_fault_steps")

settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")
