"""Figures of the plotting library, which is an optional extra."""

from typing import Any, Final

from daisywharf._errors import ConfigurationError, ErrorKind

DOTS_PER_INCH: Final = 120


def new_figure(*, width: float, height: float) -> Any:
    """Return a figure of this size in inches.

    Raise `ConfigurationError` (invalid settings) where the plotting library is missing.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        message = "a plot needs matplotlib; install daisywharf[plot] or leave --plot out"
        raise ConfigurationError(ErrorKind.INVALID_SETTINGS, message) from error
    return Figure(figsize=(width, height), dpi=DOTS_PER_INCH, layout="constrained")
