"""What a fleet has learned of its calls, kept on the platform for the start after all were killed.

Load pattern: every daemon restarts at once under full load. Until the chain is known again nothing
is refused at the entries, and the surge that waited meets the deep services unprotected.
"""

from typing import Final

import msgspec

from daisywharf._configuration import RouteName
from daisywharf._ids import VmId
from daisywharf._overload._calls_below import CallsBelow
from daisywharf._overload._chain import ChainState, forget_reporter, known_rows, record_rows
from daisywharf._overload._origins import Origins

WRITE_PERIOD_S: Final = 5.0
# Calls a run are kept to this step: smaller changes aren't worth a write.
ROUNDING_STEP_CALLS: Final = 0.5
# What was read at the start gives way to what runs show in this time.
RESTORED_LIFETIME_S: Final = 20.0
STORE_REPORTER: Final = "store"


class Learned(msgspec.Struct, frozen=True):
    """Hold how many calls runs make, and which routes are those of calls."""

    rows: tuple[CallsBelow, ...] = ()
    called: tuple[RouteName, ...] = ()


def snapshot_learned(chain: ChainState, origins: Origins) -> Learned:
    """Return what is known, rounded."""
    rows = [
        msgspec.structs.replace(
            row, calls=round(row.calls / ROUNDING_STEP_CALLS) * ROUNDING_STEP_CALLS
        )
        for row in known_rows(chain)
    ]
    return Learned(tuple(rows), tuple(sorted(origins.call_routes)))


def restore_learned(learned: Learned, chain: ChainState, origins: Origins) -> None:
    """Start from what the fleet knew before."""
    record_rows(chain, STORE_REPORTER, learned.rows)
    origins.call_routes |= frozenset(learned.called)


def drop_restored(chain: ChainState) -> None:
    """Go by what runs show from now on."""
    forget_reporter(chain, STORE_REPORTER)


def is_learned_writer(own: VmId, reachable: list[VmId]) -> bool:
    """Tell whether this daemon is the one that writes what is learned."""
    return all(own <= vm for vm in reachable)
