"""Render a report as a single HTML page with embedded plots."""

import io
from collections.abc import Callable, Iterable
from datetime import UTC, datetime
from html import escape
from math import ceil, nan
from typing import Any, Final

from daisywharf._figures import new_figure
from daisywharf._reports._report_data import GateSample, ReportData, RequestTotals
from daisywharf._signals._read_log import LogLine

# Daemons log their summaries every 2 s, so a bin of this width has one line of each gate.
MIN_BIN_S: Final = 2.0
MAX_BINS: Final = 600  # more would exceed the resolution of a plot
WIDTH_INCHES: Final = 10.0
PANEL_INCHES: Final = 2.2
MAX_INCIDENTS: Final = 200
# `served` comes first: the table of totals divides it by the sum.
OUTCOMES: Final = ("served", "refused", "failed", "given_up")

Series = dict[str, list[float]]

PAGE: Final = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>daisywharf report</title>
<style>body {{ font: 15px sans-serif; max-width: 62em; margin: 2em auto }}
table {{ border-collapse: collapse }} td, th {{ padding: 0.2em 0.8em; text-align: right }}
td:first-child, th:first-child, td.text {{ text-align: left }} svg {{ width: 100%; height: auto }}
</style></head><body>
<h1>Requests from {start} on, {lasts_s:.0f} s</h1>
{table}
{plots}
<h2>What happened</h2>
{incidents}
</body></html>
"""


def render_page(report: ReportData) -> str:
    """Return the HTML page.

    Raise `ConfigurationError` (invalid settings) if the plotting library isn't installed.
    """
    start = datetime.fromtimestamp(report.started_at, UTC).isoformat(timespec="seconds")
    return PAGE.format(
        start=escape(start),
        lasts_s=report.lasts_s,
        table=_totals_table(report.ends),
        plots=_plots(report),
        incidents=_incidents_table(report.incidents, report.started_at)
        + _left_out_note(report.left_out),
    )


def _totals_table(totals: list[RequestTotals]) -> str:
    rows = []
    for name, key_of in (("zone", lambda item: item.zone), ("route", lambda item: item.route)):
        for key, group in sorted(_group_by(totals, key_of).items()):
            sums = [sum(getattr(item, outcome) for item in group) for outcome in OUTCOMES]
            served_fraction = sums[0] / max(1, sum(sums))
            cells = "".join(f"<td>{value}</td>" for value in (*sums, f"{served_fraction:.4f}"))
            rows.append(f"<tr><td>{name} {escape(key)}</td>{cells}</tr>")
    head = "".join(f"<th>{title}</th>" for title in ("", *OUTCOMES, "served part"))
    return f"<table><tr>{head}</tr>{''.join(rows)}</table>".replace("given_up", "given up")


def _plots(report: ReportData) -> str:
    bins = _Bins(report.lasts_s)
    panels = [
        ("requests a second", _rates(report.ends, bins)),
        (
            "served part by route",
            _served_fractions(_group_by(report.ends, lambda item: item.route), bins),
        ),
        (
            "served part by zone",
            _served_fractions(_group_by(report.ends, lambda item: item.zone), bins),
        ),
        ("waiting calls by service", _gate_sums(report.gates, bins, lambda gate: gate.waiting)),
        ("running calls by service", _gate_sums(report.gates, bins, lambda gate: gate.running)),
        ("lowest level by service", _lowest_levels(report.gates, bins)),
    ]
    figure = new_figure(width=WIDTH_INCHES, height=PANEL_INCHES * len(panels))
    bin_starts_s = [number * bins.width_s for number in range(bins.count)]
    all_axes = figure.subplots(len(panels), 1, sharex=True)
    for axes, (title, series) in zip(all_axes, panels, strict=True):
        _draw(axes, title, series, bin_starts_s)
    all_axes[-1].set_xlabel("seconds")
    svg = io.StringIO()
    figure.savefig(svg, format="svg")
    text = svg.getvalue()
    # An SVG within HTML has no XML declaration.
    return text[text.index("<svg") :]


def _draw(axes: Any, title: str, series: Series, bin_starts_s: list[float]) -> None:
    for name, values in sorted(series.items()):
        axes.plot(bin_starts_s, values, label=name.replace("_", " "))
    axes.set_title(title, fontsize="medium")
    axes.set_ylim(bottom=0)
    axes.grid(alpha=0.3)
    if series:
        axes.legend(fontsize="small", loc="center left", bbox_to_anchor=(1.0, 0.5))


def _group_by(
    totals: Iterable[RequestTotals], key: Callable[[RequestTotals], str]
) -> dict[str, list[RequestTotals]]:
    groups: dict[str, list[RequestTotals]] = {}
    for item in totals:
        groups.setdefault(key(item), []).append(item)
    return groups


class _Bins:
    """Divide the time of a report into bins of equal width, in seconds."""

    def __init__(self, lasts_s: float) -> None:
        self.width_s = max(MIN_BIN_S, lasts_s / MAX_BINS)
        self.count = ceil(lasts_s / self.width_s) + 1

    def index_of(self, at_s: float) -> int:
        return int(at_s / self.width_s)


def _rates(totals: list[RequestTotals], bins: _Bins) -> Series:
    """Return the requests a second by outcome, in each bin."""
    series = {outcome: [0.0] * bins.count for outcome in OUTCOMES}
    for item in totals:
        for outcome in OUTCOMES:
            series[outcome][bins.index_of(item.at_s)] += getattr(item, outcome) / bins.width_s
    return series


def _served_fractions(groups: dict[str, list[RequestTotals]], bins: _Bins) -> Series:
    """Return each group's fraction of requests served in each bin; NaN if it had none."""
    series = {}
    for name, totals in groups.items():
        rates = _rates(totals, bins)
        offered = [sum(values) for values in zip(*rates.values(), strict=True)]
        pairs = zip(rates["served"], offered, strict=True)
        series[name] = [served / total if total else nan for served, total in pairs]
    return series


def _gate_sums(gates: list[GateSample], bins: _Bins, value: Callable[[GateSample], int]) -> Series:
    """Return for each service and bin the sum over its gates of their mean in that bin."""
    series: Series = {}
    for gate in gates:
        # A gate has one line in each `MIN_BIN_S`, so its shares add up to its mean in the bin.
        sums = series.setdefault(gate.service, [0.0] * bins.count)
        sums[bins.index_of(gate.at_s)] += value(gate) * MIN_BIN_S / bins.width_s
    return series


def _lowest_levels(gates: list[GateSample], bins: _Bins) -> Series:
    """Return for each service and bin the level of the gate that sheds most; NaN if none logged."""
    series: Series = {}
    for gate in gates:
        values = series.setdefault(gate.service, [nan] * bins.count)
        index = bins.index_of(gate.at_s)
        # The bin is NaN before its first value. It is the second argument, because `min` then keeps
        # the first.
        values[index] = min(gate.level, values[index])
    return series


def _left_out_note(left_out: int) -> str:
    if not left_out:
        return ""
    return f"<p>{left_out} lines are left out: their clocks are over a day off.</p>"


def _incidents_table(lines: list[LogLine], started_at: float) -> str:
    rows = [
        f"<tr><td>{line.time - started_at:.1f} s</td><td class=text>"
        f"{escape(str(line.fields.get('vm', '?')))}</td><td>{line.number}</td>"
        f"<td class=text>{escape(line.message)}</td></tr>"
        for line in lines[:MAX_INCIDENTS]
    ]
    not_shown = len(lines) - len(rows)
    rest = f"<p>and {not_shown} more</p>" if not_shown > 0 else ""
    return f"<table>{''.join(rows)}</table>{rest}"
