"""Overload control for service call graphs: a library for callers and targets, and a daemon."""

from importlib import import_module
from typing import TYPE_CHECKING, Any, Final

from daisywharf._contract import CallClass, Contract, Importance
from daisywharf._errors import (
    ANSWERS_BY_KIND,
    Answer,
    ConfigurationError,
    DaisywharfError,
    ErrorKind,
    LinkError,
    PlatformError,
    Ran,
    RequestError,
)

if TYPE_CHECKING:
    from daisywharf._call._caller import Caller
    from daisywharf._call._exchange import CallReply
    from daisywharf._call._gate import Gate
    from daisywharf._embedded._caller import EmbeddedCaller
    from daisywharf._embedded._target import TargetServer

__all__ = [
    "ANSWERS_BY_KIND",
    "Answer",
    "CallClass",
    "CallReply",
    "Caller",
    "ConfigurationError",
    "Contract",
    "DaisywharfError",
    "EmbeddedCaller",
    "ErrorKind",
    "Gate",
    "Importance",
    "LinkError",
    "PlatformError",
    "Ran",
    "RequestError",
    "TargetServer",
]

# A daemon may use 32 MB of memory, so a process imports only the classes that it uses.
_MODULE_BY_LAZY_NAME: Final = {
    "CallReply": "daisywharf._call._exchange",
    "Caller": "daisywharf._call._caller",
    "EmbeddedCaller": "daisywharf._embedded._caller",
    "Gate": "daisywharf._call._gate",
    "TargetServer": "daisywharf._embedded._target",
}


def __getattr__(name: str) -> Any:
    module_name = _MODULE_BY_LAZY_NAME.get(name)
    if module_name is None:
        raise AttributeError(f"module 'daisywharf' has no attribute {name!r}")
    return getattr(import_module(module_name), name)
