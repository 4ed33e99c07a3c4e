"""Plots with matplotlib, an optional dependency."""

from typing import Any, Final

from daisywharf._errors import ConfigurationError, ErrorKind

DOTS_PER_INCH: Final = 120


def new_figure(*, width: float, height: float) -> Any:
    """Return an empty figure; `width` and `height` are in inches.

    Raise `ConfigurationError` (invalid settings) if matplotlib isn't installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        message = "a plot needs matplotlib; install daisywharf[plot] or leave out --plot"
        raise ConfigurationError(ErrorKind.INVALID_SETTINGS, message) from error
    return Figure(figsize=(width, height), dpi=DOTS_PER_INCH, layout="constrained")
