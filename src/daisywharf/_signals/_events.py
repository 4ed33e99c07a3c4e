"""The numbered events that processes log; docs/EVENTS.md lists them."""

from enum import Enum
from typing import Final

import msgspec

MAX_FIELD_CHARS: Final = 300

FieldValue = str | int | float | bool


class EventLevel(Enum):
    """Severity of an event to an operator."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


# Limit for events about single requests. Each event is limited separately, so that a flood of one
# doesn't suppress the others.
REQUEST_LINES_PER_S: Final = 20.0
# Served requests need no explanation; a few samples show normal behaviour.
SERVED_LINES_PER_S: Final = 2.0
DEFAULT_LINES_PER_S: Final = 2.0


class EventDefinition(msgspec.Struct, frozen=True):
    """Hold an event's number, its level, and its message template with the names of its fields.

    `lines_per_s` is the maximum number of its lines written per second, after a burst.
    """

    number: int
    level: EventLevel
    template: str
    lines_per_s: float = DEFAULT_LINES_PER_S


class Event(Enum):
    """The events; a number is never reused for another meaning."""

    DAEMON_STARTED = EventDefinition(
        101,
        EventLevel.INFO,
        "daemon of {vm} in zone {zone} serves: HTTP {http}, links {links}",
    )
    DAEMON_STOPPING = EventDefinition(
        102, EventLevel.INFO, "daemon of {vm} stops, {in_flight} calls in flight"
    )
    DAEMON_STOPPED = EventDefinition(
        103, EventLevel.INFO, "daemon of {vm} has stopped, {cut_off} calls cut off"
    )
    CLOCK_GAP = EventDefinition(
        104, EventLevel.WARNING, "process was paused for {gap_s} s; views are stale until refreshed"
    )
    UNEXPECTED_ERROR = EventDefinition(105, EventLevel.ERROR, "{part} failed unexpectedly: {error}")
    LOG_LINES_DROPPED = EventDefinition(
        106, EventLevel.WARNING, "{dropped} lines were dropped: the reader of this log is too slow"
    )

    TARGET_ANNOUNCED = EventDefinition(
        201, EventLevel.INFO, "target {target} of {service} announced itself with {slots} slots"
    )
    TARGET_DRAINING = EventDefinition(
        202, EventLevel.INFO, "target {target} drains and receives no new work"
    )
    TARGET_LEFT = EventDefinition(203, EventLevel.INFO, "target {target} has left")
    TARGET_LAPSED = EventDefinition(
        204, EventLevel.WARNING, "target {target} stopped renewing its announcement"
    )
    ANNOUNCEMENT_REFUSED = EventDefinition(205, EventLevel.WARNING, "announcement refused: {error}")
    ANNOUNCEMENT_LATE = EventDefinition(
        206, EventLevel.INFO, "announcement of target {target} was ignored: {verdict}"
    )
    TARGET_UNREACHABLE = EventDefinition(
        207, EventLevel.WARNING, "target {target} accepts no connection: {error}"
    )
    TARGET_LIMITED = EventDefinition(
        208, EventLevel.WARNING, "target {target} limits itself to {per_s} requests per second"
    )
    TARGET_LIMIT_ENDED = EventDefinition(
        209, EventLevel.INFO, "target {target} no longer reports a limit"
    )
    TARGET_SAID_LEAVING = EventDefinition(
        210, EventLevel.INFO, "target {target} reported in an answer that it is leaving"
    )

    CONTRACT_IN_FORCE = EventDefinition(
        301, EventLevel.INFO, "contract {customer} is in force here at version {version}"
    )
    CONTRACT_DELETED = EventDefinition(
        302, EventLevel.INFO, "contract {customer} is deleted at version {version}"
    )
    CONTRACT_UNREADABLE = EventDefinition(
        303,
        EventLevel.ERROR,
        "contract {customer} at version {version} can't be read; the previous one stays: {error}",
    )
    COPY_CONFIRMED = EventDefinition(
        304, EventLevel.INFO, "the copy of the contracts is confirmed at version {version}"
    )
    CONFIGURATION_IN_FORCE = EventDefinition(
        305,
        EventLevel.INFO,
        "configuration is in force here at version {version} after {earlier}, from {source};"
        " the earlier one was confirmed {confirmed_s} s ago",
    )
    ENTRY_UNREADABLE = EventDefinition(
        306, EventLevel.ERROR, "entry {entry} can't be read and is ignored: {error}"
    )
    SETTINGS_CHANGED = EventDefinition(307, EventLevel.INFO, "settings of {vm} have changed")
    SETTINGS_UNREADABLE = EventDefinition(
        308, EventLevel.ERROR, "settings can't be read; the previous ones stay: {error}"
    )

    KEY_SHARED = EventDefinition(
        309,
        EventLevel.ERROR,
        "teams {teams} hold the same key in version {version}; requests with it are denied",
    )

    PLATFORM_UNAVAILABLE = EventDefinition(
        401, EventLevel.WARNING, "platform is unreachable; serving continues: {error}"
    )
    PLATFORM_BACK = EventDefinition(
        402, EventLevel.INFO, "platform is reachable again after {outage_s} s"
    )
    WATCH_GONE = EventDefinition(
        403,
        EventLevel.INFO,
        "watch after version {version} has expired; contracts are listed again",
    )

    WATCH_TAKEN = EventDefinition(
        404,
        EventLevel.INFO,
        "this daemon starts watching the configuration; {others} daemons rank before it",
    )
    WATCH_LEFT = EventDefinition(
        405,
        EventLevel.INFO,
        "this daemon stops watching the configuration; {others} daemons rank before it",
    )
    CONFIGURATION_UNCONFIRMED = EventDefinition(
        406,
        EventLevel.INFO,
        "no daemon of the zone has confirmed the configuration for {age_s} s; asking the store",
    )
    STORE_ERA_CHANGED = EventDefinition(
        407,
        EventLevel.WARNING,
        "store era changed from {earlier} to {era}, by {source}: the store lost its last writes;"
        " they are written again",
    )
    STORE_RESPONSE_DROPPED = EventDefinition(
        408,
        EventLevel.WARNING,
        "response of store era {era} was dropped; the present era is {present}",
    )

    LINK_OPENED = EventDefinition(501, EventLevel.DEBUG, "link to {peer} is open")
    LINK_CLOSED = EventDefinition(502, EventLevel.DEBUG, "link to {peer} is closed: {error}")
    LINK_SILENT = EventDefinition(
        503, EventLevel.WARNING, "link to {peer} went silent; a new connection replaces it"
    )
    PEER_REFUSED = EventDefinition(504, EventLevel.WARNING, "peer at {peer} was refused: {error}")
    BAD_FRAME = EventDefinition(505, EventLevel.WARNING, "frame from {peer} was dropped: {error}")
    DAEMON_SUSPECTED = EventDefinition(506, EventLevel.WARNING, "daemon of {peer} doesn't answer")
    DAEMON_LOST = EventDefinition(507, EventLevel.WARNING, "daemon of {peer} is considered gone")
    ZONE_UNREACHABLE = EventDefinition(508, EventLevel.ERROR, "zone {other_zone} can't be reached")
    ZONE_BACK = EventDefinition(509, EventLevel.INFO, "zone {other_zone} can be reached again")
    FRAME_SKIPPED = EventDefinition(
        510, EventLevel.WARNING, "{kind} of {size} bytes from {peer} doesn't fit into memory"
    )

    SHEDDING_STARTED = EventDefinition(
        601, EventLevel.WARNING, "target {target} refuses calls from level {level} on"
    )
    SHEDDING_ENDED = EventDefinition(
        602, EventLevel.INFO, "target {target} stopped refusing calls after {shedding_s} s"
    )
    OUTCOME_UNKNOWN = EventDefinition(
        603, EventLevel.ERROR, "outcome of {key} at target {target} is unknown: {error}"
    )

    REQUEST_SHED = EventDefinition(
        701,
        EventLevel.INFO,
        "request {request} of {route}, team {team}, refused at its entry: importance {importance},"
        " level {level} of {loaded}, {age_s} s old, version {version}",
        REQUEST_LINES_PER_S,
    )
    REQUEST_REFUSED = EventDefinition(
        702,
        EventLevel.WARNING,
        "request {request} of {route}, team {team}, was not run at {service}: {kind}"
        " after {gates_tried} gates,"
        " in {held_ms} ms, version {version}",
        REQUEST_LINES_PER_S,
    )
    REQUEST_FAILED = EventDefinition(
        703,
        EventLevel.WARNING,
        "request {request} of {route}, team {team}, failed at {service}: {kind}, {cause},"
        " last at {target} in zone {target_zone}, spill share {spill_share},"
        " after {attempts} attempts in {held_ms} ms, version {version}",
        REQUEST_LINES_PER_S,
    )
    REQUEST_REPEATED = EventDefinition(
        704,
        EventLevel.INFO,
        "request {request} of {route} is retried after {target}: {kind}",
        REQUEST_LINES_PER_S,
    )
    REQUEST_WITHOUT_ROUTE = EventDefinition(
        705, EventLevel.WARNING, "request {request} for {host}{path} has no route in {version}"
    )
    CALL_REFUSED = EventDefinition(
        706,
        EventLevel.INFO,
        "gate of {target} refused {request} of {route} before running it: {kind},"
        " after {waited_ms} ms,"
        " {running} running and {waiting} waiting of {limit}",
        REQUEST_LINES_PER_S,
    )
    CALL_FAILED = EventDefinition(
        707,
        EventLevel.WARNING,
        "target {target} didn't answer {request} of {route}: {kind}, {error}, after {ran_ms} ms",
        REQUEST_LINES_PER_S,
    )
    REQUEST_GIVEN_UP = EventDefinition(
        708,
        EventLevel.INFO,
        "client of request {request} of {route} disconnected after {held_ms} ms, sent to {target}",
        REQUEST_LINES_PER_S,
    )
    REQUEST_ANSWERED = EventDefinition(
        709,
        EventLevel.INFO,
        "request {request} of {route}, team {team}, was answered {status} by {target}"
        " in zone {target_zone}, spill share {spill_share},"
        " in {held_ms} ms,"
        " version {version}",
        SERVED_LINES_PER_S,
    )
    REQUESTS_COUNTED = EventDefinition(
        710,
        EventLevel.INFO,
        "requests of {route} at {service} in {period_s} s: {served} served, {refused} refused,"
        " {failed} failed, {given_up} given up",
        REQUEST_LINES_PER_S,
    )
    GATE_COUNTED = EventDefinition(
        711,
        EventLevel.INFO,
        "gate of {target}, {service}: {running} running and {waiting} waiting of {limit},"
        " level {level}; {started} started, limit {per_s} per second",
    )
    REQUEST_DENIED = EventDefinition(
        712,
        EventLevel.WARNING,
        "request {request} of {route} was denied: {kind}, version {version}",
        REQUEST_LINES_PER_S,
    )
    QUOTA_EXCEEDED = EventDefinition(
        713,
        EventLevel.INFO,
        "request {request} of {route} is over the quota of team {team}: retry after {wait_s} s,"
        " this daemon's part is {part} per second, version {version}",
        REQUEST_LINES_PER_S,
    )
    REQUEST_OVER_SHARE = EventDefinition(
        715,
        EventLevel.INFO,
        "request {request} of {route} was refused for load by its team's share: team {team} makes"
        " {team_per_s} such requests per second, and {fair_per_s} of a team are admitted",
        REQUEST_LINES_PER_S,
    )
    REQUEST_UNLIKELY = EventDefinition(
        716,
        EventLevel.INFO,
        "request {request} of {route}, team {team}, refused at its entry: {rejecting} rejects"
        " calls, chance {chance} for its call chain, version {version}",
        REQUEST_LINES_PER_S,
    )
    SPILL_STARTED = EventDefinition(
        718,
        EventLevel.INFO,
        "calls of {service} start to leave the zone: share {share}, own load {load},"
        " to {destinations}",
    )
    SPILL_ENDED = EventDefinition(
        719,
        EventLevel.INFO,
        "calls of {service} stay in the zone again after {spilled_s} s, own load {load}",
    )

    @property
    def label(self) -> str:
        """Return the event's name in log lines, such as `target-left`."""
        return self.name.lower().replace("_", "-")


class _FieldsWithPlaceholder(dict[str, FieldValue]):
    def __missing__(self, name: str) -> str:
        return "?"


def format_message(event: Event, fields: dict[str, FieldValue]) -> str:
    """Return an event's message with its fields filled in; a missing field is shown as `?`."""
    shown_fields = _FieldsWithPlaceholder(
        {name: sanitize_field(value) for name, value in fields.items()}
    )
    return event.value.template.format_map(shown_fields)


def sanitize_field(value: FieldValue) -> FieldValue:
    """Return a value limited to `MAX_FIELD_CHARS`, then escaped if it could forge a log line."""
    if not isinstance(value, str):
        return value
    truncated = value[:MAX_FIELD_CHARS]
    return (
        truncated if truncated.isprintable() else truncated.encode("unicode_escape").decode("ascii")
    )
