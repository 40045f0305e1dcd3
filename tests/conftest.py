"""Makes tests reproducible: hypothesis draws the same examples every time, and finalizers run where they belong."""

import gc
from collections.abc import Iterator

import pytest
from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, database=None, max_examples=60)
settings.load_profile("fixed")


@pytest.fixture(autouse=True)
def finalize_streams(request: pytest.FixtureRequest) -> Iterator[None]:
    """Run the finalizers of a test's asyncio streams at its end, and not within a later test.

    One that finds its event loop closed prints a traceback, for which Python parses source. If that happens while
    hypothesis parses source, CPython before 3.11.7 fails with "AST constructor recursion depth mismatch".
    """
    yield
    if hasattr(request.module, "asyncio"):
        gc.collect()
