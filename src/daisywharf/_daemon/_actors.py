"""Keep an actor alive when one of the messages that nobody waits for fails."""

from collections.abc import Callable
from functools import wraps
from typing import Concatenate, ParamSpec, TypeVar

from daisywharf._signals import Event, log_event

Actor = TypeVar("Actor")
Parameters = ParamSpec("Parameters")


def log_exceptions(
    method: Callable[Concatenate[Actor, Parameters], None],
) -> Callable[Concatenate[Actor, Parameters], None]:
    """Log a failure of a deferred method; pykka would end the actor with it."""

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
