"""Overload control for service call graphs: a library for callers and targets, and a daemon."""

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

__all__ = [
    "ANSWERS_BY_KIND",
    "Answer",
    "CallClass",
    "ConfigurationError",
    "Contract",
    "DaisywharfError",
    "ErrorKind",
    "Importance",
    "LinkError",
    "PlatformError",
    "Ran",
    "RequestError",
]
