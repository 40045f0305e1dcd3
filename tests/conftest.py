"""The same verdict every time: hypothesis draws the same examples, and no example is timed."""

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, database=None, max_examples=60)
settings.load_profile("fixed")
