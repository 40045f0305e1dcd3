"""Makes property tests reproducible: hypothesis draws the same examples every time and does not time them."""

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, database=None, max_examples=60)
settings.load_profile("fixed")
