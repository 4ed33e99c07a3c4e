"""Who hears a daemon's report: all of a small fleet, of a large one some in turn."""

from collections import Counter

import pytest

from daisywharf._mesh._frames import GateLoad, News, Report, encode_frame
from daisywharf._mesh._reporting import MOST_NEWS, MOST_REPORTS, next_start, share_out
from daisywharf._overload._calls_below import CallsBelow
from daisywharf._overload._origins import RouteCount

PERIOD_S = 0.5  # of a loaded gate
# What the users allow a daemon for control, in bytes a second.
MOST_BYTES_PER_S = 13_000.0
NEWS = News(12, True, GateLoad(120, 40, 122, 2.173))
REPORT = Report(
    NEWS,
    tuple(CallsBelow("catalogue", "r-abcdef", "orders", "r-ghijkl", 1.003) for _ in range(4)),
    "catalogue",
    tuple(RouteCount("r-abcdef", 25) for _ in range(7)),
)


def _play(links: int, periods: int) -> tuple[Counter[int], Counter[int], list[int]]:
    whole_by_link: Counter[int] = Counter()
    told_by_link: Counter[int] = Counter()
    bytes_by_period = []
    start = 0
    for _ in range(periods):
        whole, news = share_out(list(range(links)), start=start)
        start += next_start(links)
        whole_by_link.update(whole)
        told_by_link.update([*whole, *news])
        sent = len(whole) * len(encode_frame(REPORT)) + len(news) * len(encode_frame(NEWS))
        bytes_by_period.append(sent)
    return whole_by_link, told_by_link, bytes_by_period


def test_a_small_fleet_hears_the_whole_report_in_each_period() -> None:
    whole, _, _ = _play(MOST_REPORTS, 4)
    assert set(whole.values()) == {4}


def test_a_fleet_of_85_hears_the_news_in_each_period_and_whole_reports_in_turn() -> None:
    """Replay the grown karri-mesh: levels of deep services must not be older than a period."""
    whole, told, _ = _play(84, 21)
    assert set(told.values()) == {21}
    assert min(whole.values()) == max(whole.values()) == 4


@pytest.mark.parametrize("links", [129, 300, 2_999])
def test_all_daemons_of_a_large_fleet_are_told_in_turn(links: int) -> None:
    periods = 8 * (links // MOST_NEWS + 1)
    _, told, _ = _play(links, periods)
    assert len(told) == links
    assert max(told.values()) - min(told.values()) <= 1


@pytest.mark.parametrize("links", [33, 84, 300, 2_999])
def test_reports_stay_within_the_bytes_allowed(links: int) -> None:
    _, _, sent = _play(links, 8)
    # A gate is loaded for a part of the time; at other times it reports half as often.
    assert max(sent) <= MOST_BYTES_PER_S
    assert max(sent) / PERIOD_S <= 2 * MOST_BYTES_PER_S
