"""Play custom days on modified copies of a site, with seeded faults, and check the results.

- `site_files`, `faults`: the parts of a day; `day`: a site with its day
- `random_days`, `overlapping_faults`, `scenarios` and `scenario_days`, `fixed_days`: the days
- `results`: the figures read from a played day, and whether the day failed
"""
