"""Check that the time to find the team of a key doesn't grow with the number of teams."""

import argparse
import json
import statistics
import time
from functools import partial

import msgspec

from daisywharf._configuration import Team
from daisywharf._ids import TeamName
from daisywharf._mesh._team_keys import TeamKeys, digest_key, find_team

TEAM_COUNTS = (2, 20, 200, 2_000)
KEYS_PER_TEAM = 2
LOOKUPS = 5_000
ROUNDS = 15
MAX_RATIO = 1.5
US_PER_S = 1_000_000.0


class Point(msgspec.Struct, frozen=True):
    """Processor time per lookup with one number of teams, and its ratio to that of the fewest."""

    teams: int
    microseconds: float
    ratio: float


def _key(team: int, number: int) -> bytes:
    return f"key-{number}-of-{team}".encode()


def _team(number: int) -> Team:
    digests = tuple(digest_key(_key(number, place)) for place in range(KEYS_PER_TEAM))
    return Team(TeamName(f"team-{number}"), digests)


def _look_up(keys: TeamKeys, presented: list[bytes]) -> float:
    started = time.process_time()
    for key in presented:
        find_team(keys, key)
    return time.process_time() - started


def measure() -> list[Point]:
    """Measure all sizes in each round, so that drift of the machine affects all of them alike."""
    runs = []
    for count in TEAM_COUNTS:
        keys = TeamKeys(tuple(_team(number) for number in range(count)))
        presented = [_key(number % count, number % KEYS_PER_TEAM) for number in range(LOOKUPS)]
        runs.append(partial(_look_up, keys, presented))
    rounds = [[run() for run in runs] for _ in range(ROUNDS)]
    median_us = [
        statistics.median(taken) / LOOKUPS * US_PER_S for taken in zip(*rounds, strict=True)
    ]
    return [
        Point(count, round(us, 3), round(us / median_us[0], 3))
        for count, us in zip(TEAM_COUNTS, median_us, strict=True)
    ]


def main(arguments: list[str]) -> int:
    """Measure all sizes; return 1 if one takes over `MAX_RATIO` times the smallest's time."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks teams")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    points = measure()
    worst = max(point.ratio for point in points)
    if options.json:
        report = {"by_teams": points, "worst_ratio": worst, "ratio_most": MAX_RATIO}
        print(json.dumps(msgspec.to_builtins(report), indent=1))
    else:
        for point in points:
            print(f"{point.teams:5} teams: {point.microseconds:6.3f} us, ratio {point.ratio:.3f}")
    return 0 if worst <= MAX_RATIO else 1
