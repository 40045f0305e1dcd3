"""Short, dense trials of one or two routers on real processes, with faults, and a checker of what was seen.

`schedule` draws a trial from a seed, `runner` carries it out with the stand-ins of `clients` and `exchanges`, `records`
holds what these saw, and `rules` finds the breaches in it. The checker knows the platform's rules only.
"""
