"""Keep an actor running when a deferred call to it, whose result nobody awaits, fails."""

from collections.abc import Callable
from functools import wraps
from typing import Concatenate, ParamSpec, TypeVar

from daisywharf._signals import Event, log_event

Actor = TypeVar("Actor")
Parameters = ParamSpec("Parameters")


def log_exceptions(
    method: Callable[Concatenate[Actor, Parameters], None],
) -> Callable[Concatenate[Actor, Parameters], None]:
    """Log exceptions of a deferred method instead of raising them; pykka would stop the actor."""

    @wraps(method)
    def guarded(actor: Actor, /, *args: Parameters.args, **kwargs: Parameters.kwargs) -> None:
        try:
            method(actor, *args, **kwargs)
        except Exception as error:
            method_name = f"{type(actor).__name__}.{method.__name__}"
            log_event(
                Event.UNEXPECTED_ERROR, part=method_name, error=f"{type(error).__name__}: {error}"
            )

    return guarded
