"""What a fleet has learned about its calls, stored on the platform for a restart of all daemons.

Load pattern: every daemon restarts at once under full load. Until the call chain is known again,
the entries refuse nothing, and the surge of waiting requests reaches the deep services unprotected.
"""

from typing import Final

import msgspec

from daisywharf._configuration import RouteName
from daisywharf._ids import VmId
from daisywharf._overload._calls_below import CallsBelow
from daisywharf._overload._chain import ChainState, forget_reporter, known_rows, record_rows
from daisywharf._overload._origins import Origins

WRITE_PERIOD_S: Final = 5.0
# Calls per run are rounded to multiples of this: smaller changes aren't worth a write.
ROUNDING_STEP_CALLS: Final = 0.5
# What was read at the start is dropped after this time: by then current runs have been learned.
RESTORED_LIFETIME_S: Final = 20.0
MAX_CALLS_PER_RUN: Final = 10_000.0
# Restored calls are recorded under this name, in place of the VM that reports current ones.
STORE_REPORTER: Final = "store"


class LearnedCalls(msgspec.Struct, frozen=True):
    """Hold how many calls one run of each route makes, and which routes targets call.

    `rows` holds the calls per run by route, `called` the routes that targets call.
    """

    rows: tuple[CallsBelow, ...] = ()
    called: tuple[RouteName, ...] = ()


def check_learned_calls(learned: LearnedCalls) -> None:
    """Check values from outside; raise ValueError for one that can't be used."""
    for row in learned.rows:
        if not 0 <= row.calls <= MAX_CALLS_PER_RUN:
            raise ValueError(
                f"{row.calls} calls of {row.callee_route!r} by a run of {row.route!r}; "
                f"use 0 to {MAX_CALLS_PER_RUN}"
            )


def snapshot_learned_calls(chain: ChainState, origins: Origins) -> LearnedCalls:
    """Return what is known now, with calls per run rounded to `ROUNDING_STEP_CALLS`."""
    rows = [
        msgspec.structs.replace(
            row, calls=round(row.calls / ROUNDING_STEP_CALLS) * ROUNDING_STEP_CALLS
        )
        for row in known_rows(chain)
    ]
    return LearnedCalls(tuple(rows), tuple(sorted(origins.call_routes)))


def restore_learned_calls(learned: LearnedCalls, chain: ChainState, origins: Origins) -> None:
    """Add to `chain` and `origins` what the fleet had learned before."""
    record_rows(chain, STORE_REPORTER, learned.rows)
    chain.is_learned = chain.is_learned or bool(learned.rows)
    origins.call_routes |= frozenset(learned.called)


def drop_restored(chain: ChainState) -> None:
    """Drop the restored calls, so that only current runs count."""
    forget_reporter(chain, STORE_REPORTER)


def is_learned_calls_writer(own: VmId, reachable: list[VmId]) -> bool:
    """Return whether this daemon writes the learned calls: that on the first reachable VM does."""
    return all(own <= vm for vm in reachable)
