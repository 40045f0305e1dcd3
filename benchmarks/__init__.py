"""Benchmarks, one per file: `python -m benchmarks.NAME --seed N`. The last line printed is a JSON object."""
