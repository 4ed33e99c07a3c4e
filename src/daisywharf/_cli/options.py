"""The options that several commands share."""

from typing import Annotated

import typer

from daisywharf._errors import DaisywharfError
from daisywharf._objects._http_client import HttpPlatform
from daisywharf._objects._interface import ObjectKind, Platform

COMPLETION_TIMEOUT_S = 1.0

PlatformUrl = Annotated[
    str,
    typer.Option("--platform", envvar="DAISYWHARF_PLATFORM", help="URL of the object API"),
]
DaemonUrl = Annotated[
    str,
    typer.Option("--daemon", envvar="DAISYWHARF_DAEMON", help="URL of any daemon's HTTP"),
]
OptionalDaemonUrl = Annotated[
    str,
    typer.Option("--daemon", envvar="DAISYWHARF_DAEMON", help="URL of a daemon, for --wait"),
]
AsJson = Annotated[bool, typer.Option("--json", help="print JSON")]
TimeoutS = Annotated[
    float, typer.Option("--timeout", min=0.1, max=600, help="seconds that one call may take")
]


def platform_at(url: str) -> Platform:
    """Return a client of the platform at a URL."""
    return HttpPlatform(url)


def complete_customer(context: typer.Context, incomplete: str) -> list[str]:
    """Return the customers whose names start with `incomplete`; none if the platform fails."""
    url = context.params.get("platform") or ""
    if not url:
        return []
    try:
        platform = platform_at(url)
        listing = platform.list(
            ObjectKind.CONTRACT, prefix=incomplete, timeout_s=COMPLETION_TIMEOUT_S
        )
    except DaisywharfError:
        return []
    return [item.name for item in listing.objects]


Customer = Annotated[str, typer.Argument(help="customer's name", autocompletion=complete_customer)]
