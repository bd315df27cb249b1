"""The same verdict every time: what is drawn is drawn from the test's own name, and nothing is kept between runs."""

from hypothesis import settings

settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")
