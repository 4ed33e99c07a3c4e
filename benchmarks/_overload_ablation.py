"""Switch one protection off, to measure its effect."""

from collections.abc import Callable
from typing import Any

from daisywharf._overload import _admission, _shedding, _track, _window

UNLIMITED = 1e9  # far beyond any value that a run reaches


def _no_window() -> None:
    _set(_window, "MIN_WINDOW", 1e9)


def _no_level() -> None:
    _set(_admission, "move_level", _nothing)


def _no_reports() -> None:
    _set(_admission, "take_refusals", _nothing)


def _no_resend_estimate() -> None:
    _set(_shedding, "learn_resend_factor", _nothing)


def _oldest_first() -> None:
    _set(_admission, "NEWEST_FIRST_WAIT_S", UNLIMITED)


def _no_time_check() -> None:
    _set(_admission, "min_run_time_s", lambda *_args, **_kwargs: 0.0)


def _fixed_resend_delay() -> None:
    _set(_admission, "plan_resend", lambda *_args, **_kwargs: 1.0)


def _no_early_opening() -> None:
    _set(_shedding, "LOW_LOAD", 0.0)


def _no_boundary_pause() -> None:
    _set(_track, "BOUNDARY_PAUSE_S", 0.0)


def _long_queue() -> None:
    _set(_admission, "MAX_QUEUE_RATIO", UNLIMITED)


SWITCH_BY_NAME: dict[str, Callable[[], None]] = {
    "window": _no_window,
    "level": _no_level,
    "refusal-reports": _no_reports,
    "re-send-estimate": _no_resend_estimate,
    "newest-first": _oldest_first,
    "time-check": _no_time_check,
    "planned-returns": _fixed_resend_delay,
    "early-opening": _no_early_opening,
    "stay-at-bounds": _no_boundary_pause,
    "short-queue": _long_queue,
}


def _nothing(*_args: Any, **_kwargs: Any) -> None:
    return None


def _set(module: object, name: str, value: object) -> None:
    assert hasattr(module, name), name
    setattr(module, name, value)
