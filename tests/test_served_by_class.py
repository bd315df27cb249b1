"""Test which jobs count as served, from the log and result of a simulated day."""

from __future__ import annotations

from scripts import job_log, served_by_class

LOG = """
  100.0 c0 info accepted job=j-000001 team=a kind=array tasks=4 class=x
  100.5 c1 info accepted job=j-000002 team=b kind=service tasks=2 class=y
  101.0 c1 info accepted job=j-000003 team=b kind=gang tasks=2 class=z
  101.5 c1 info accepted job=j-000004 team=b kind=gang tasks=2 class=z
  102.0 c0 debug task job=j-000001 task=0 attempt=1 machine=n-1 state=exited reason=done
  103.0 c0 debug task job=j-000002 task=0 attempt=1 machine=n-1 state=running reason=-
  103.0 c0 debug task job=j-000002 task=1 attempt=1 machine=n-1 state=running reason=-
  104.0 c0 info cancelled job=j-000002
  104.0 c1 info cancelled job=j-000003
  105.0 c0 debug done job=j-000004
"""
CLASSES = {
    "x": {"jobs": 1, "accepted": 1, "started": 1, "done": 0, "cancelled": 0},
    "y": {"jobs": 1, "accepted": 1, "started": 1, "done": 0, "cancelled": 1, "up": 1.0},
    "z": {"jobs": 2, "accepted": 2, "started": 1, "done": 1, "cancelled": 1},
}


def test_class_and_team_below_half_served_fail() -> None:
    found = job_log.read_jobs(LOG.splitlines())
    table = served_by_class.table({"classes": CLASSES}, found)
    rows = {text.split()[1]: text for text in table.lines[1:] if not text.startswith("largest")}
    assert table.least_share == 0.0 and rows["x"].endswith("FAILS") and rows["a"].endswith("FAILS")
    assert (
        not rows["y"].endswith("FAILS")
        and not rows["z"].endswith("FAILS")
        and not rows["b"].endswith("FAILS")
    )
    assert (
        found["j-000001"].tasks_served == 1
        and found["j-000002"].served
        and found["j-000004"].tasks_served == 2
    )


def test_logs_of_older_releases_count_the_same() -> None:
    older = LOG.replace(" class=", " klass=").replace(" reason=", " why=")
    older = older.replace(" cancelled ", " withdrawn ")
    assert older != LOG
    assert job_log.read_jobs(older.splitlines()) == job_log.read_jobs(LOG.splitlines())


def test_class_without_any_log_line_is_reported() -> None:
    table = served_by_class.table(
        {"classes": {"w": {"jobs": 4, "accepted": 1, "started": 1, "done": 1, "cancelled": 0}}}, {}
    )
    assert table.least_share == 0.25 and table.lines[1].endswith("FAILS")


def test_largest_jobs_of_a_class_are_checked_separately() -> None:
    """Thirty small gangs are served at once.

    Of the three largest, one starts late because of its last task, and one never ends.
    """
    log = [
        f" {i}.0 c0 info accepted job=j-1{i:05d} team=a kind=gang tasks=1 class=z"
        for i in range(30)
    ]
    log += [f" {i}.5 c0 debug done job=j-1{i:05d}" for i in range(30)]
    for n, (first, last, ended) in enumerate(
        [(10.0, 20.0, 30.0), (11.0, 255.0, 300.0), (12.0, 13.0, None)]
    ):
        jid = f"j-00000{n}"
        log.append(f" 5.0 c0 info accepted job={jid} team=a kind=gang tasks=2 class=z")
        log += [
            f" {at} c0 debug task job={jid} task={i} attempt=1 machine=n state=running reason=-"
            for i, at in enumerate((first, last))
        ]
        log += [f" {ended} c0 debug done job={jid}"] if ended else []
    found = job_log.read_jobs("\n".join(log).splitlines())
    largest = served_by_class.largest_jobs(
        "z", [job for job in found.values() if job.class_name == "z"]
    )
    assert (largest.served_share, largest.longest_wait_s) == (0.75, 250.0), (
        "of 33 jobs, the four largest must count"
    )
    table = served_by_class.table({"classes": {}}, found)
    assert table.least_share == 0.0 and table.lines[-1].endswith("FAILS")
