"""Own days on copies of a site: sites changed and faults scheduled from a seed, played and judged.

- `site_files`, `faults`: the parts of a day; `day`: a site with its day
- `random_days`, `overlapping_faults`, `scenarios` and `scenario_days`, `fixed_days`: the days
- `results`: what is read from a played day, and whether it fails
"""
