"""Plot the columns of an experiment over time; needs the optional extra `plot`."""

from pathlib import Path

from daisywharf._experiments._model import ExperimentResult
from daisywharf._figures import new_figure

PANEL_HEIGHT_INCHES = 1.6


def plot_result(result: ExperimentResult, path: Path, *, title: str) -> None:
    """Write a PNG with one panel per column.

    Raise `ConfigurationError` (invalid settings) if the plotting library is missing.
    """
    columns = list(result.samples[0].value_by_column)
    figure = new_figure(width=10.0, height=PANEL_HEIGHT_INCHES * len(columns))
    figure.suptitle(title)
    seconds = [sample.at_s for sample in result.samples]
    panels = figure.subplots(len(columns), 1, sharex=True, squeeze=False)
    for axes, column in zip(panels[:, 0], columns, strict=True):
        axes.plot(seconds, [sample.value_by_column[column] for sample in result.samples])
        axes.set_ylabel(column)
    panels[-1, 0].set_xlabel("seconds")
    figure.savefig(path)
