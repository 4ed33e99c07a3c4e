"""Check a configuration before it is sent: entries without effect, and limits that contradict."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from enum import Enum

import msgspec

from daisywharf._configuration import ClientLimits, Configuration, Route, Team
from daisywharf._mesh._team_keys import TeamKeys


class Severity(Enum):
    """State whether a finding makes a configuration unfit to be sent."""

    ERROR = "error"
    WARNING = "warning"


class Finding(msgspec.Struct, frozen=True):
    """Describe what is wrong with an entry, and how to fix it."""

    severity: Severity
    entry: str
    message: str


class Difference(msgspec.Struct, frozen=True):
    """Describe what a new version changes at an entry."""

    entry: str
    message: str


def check_configuration(configuration: Configuration) -> list[Finding]:
    """Return what is wrong within one version, in the order of its entries."""
    return [
        *_check_routes(configuration),
        *_check_services(configuration),
        *_check_teams(configuration),
        *_check_limits(configuration.limits),
    ]


def compare_versions(new: Configuration, in_force: Configuration) -> list[Difference]:
    """Return what a new version changes; of keys it tells only how many a team gains and loses."""
    return [
        *_compare_entries("route", _routes_by_name(in_force), _routes_by_name(new)),
        *_compare_entries("service", _services_by_name(in_force), _services_by_name(new)),
        *_compare_entries("team", _teams_by_name(in_force), _teams_by_name(new)),
        *_compare_keys(_teams_by_name(in_force), _teams_by_name(new)),
        *_compare_fields("limits", in_force.limits, new.limits),
    ]


def check_version(new: Configuration, in_force: Configuration) -> list[Finding]:
    """Return an error if a new version would not replace the one in force."""
    if new.version > in_force.version:
        return []
    message = f"{new.version} isn't newer than {in_force.version}, which is in force; increase it"
    return [Finding(Severity.ERROR, "version", message)]


def _error(entry: str, message: str) -> Finding:
    return Finding(Severity.ERROR, entry, message)


def _warning(entry: str, message: str) -> Finding:
    return Finding(Severity.WARNING, entry, message)


# Routes.


def _check_routes(configuration: Configuration) -> Iterator[Finding]:
    yield from _check_names("route", (route.name for route in configuration.routes))
    winner_by_prefix = {_prefix(route): route.name for route in configuration.routes}
    for route in configuration.routes:
        entry = f"route {route.name}"
        winner = winner_by_prefix[_prefix(route)]
        if winner != route.name:
            where = f"{route.host}{route.path_prefix}"
            yield _error(entry, f"never matches: {winner} has {where} too; remove one of them")
        yield from _check_match(entry, route)
        yield from _check_times(entry, route)
        yield from _check_parts(entry, route, configuration)


def _prefix(route: Route) -> tuple[str, str]:
    return route.host.lower(), route.path_prefix


def _check_match(entry: str, route: Route) -> Iterator[Finding]:
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield _error(entry, f"never matches: {prefix!r} must begin and end with a slash")
    elif "?" in prefix or "#" in prefix:
        yield _error(entry, f"never matches: {prefix!r} contains more than a path")
    if not route.host or any(character.isspace() or character == "/" for character in route.host):
        yield _error(entry, f"never matches: {route.host!r} is no host name")


def _check_times(entry: str, route: Route) -> Iterator[Finding]:
    if route.timeout_s <= 0.0:
        yield _error(entry, f"its time-out is {route.timeout_s} s, so each request fails")
    elif route.aim_s > route.timeout_s:
        yield _warning(
            entry,
            f"its latency objective of {route.aim_s} s is beyond its time-out of"
            f" {route.timeout_s} s: no answer can be late; lower the objective",
        )


def _check_parts(entry: str, route: Route, configuration: Configuration) -> Iterator[Finding]:
    for part in route.parts:
        if part.weight < 0.0:
            yield _error(entry, f"the weight of {part.service} is {part.weight}; use 0 or more")
        if part.service not in configuration.connections_by_service:
            yield _error(entry, f"leads to {part.service}, which is no service; add it")
        if part.weight == 0.0 and len(route.parts) > 1:
            yield _warning(entry, f"sends nothing to {part.service}, whose weight is 0")
    if all(part.weight <= 0.0 for part in route.parts):
        yield _warning(entry, "no part has a weight, so all get the same share")


# Services, teams and limits.


def _check_services(configuration: Configuration) -> Iterator[Finding]:
    used = {part.service for route in configuration.routes for part in route.parts}
    for service, connections in configuration.connections_by_service.items():
        if service not in used:
            yield _warning(f"service {service}", "no route leads to it")
        if connections <= 0:
            yield _error(f"service {service}", f"accepts {connections} connections; use 1 or more")


def _check_teams(configuration: Configuration) -> Iterator[Finding]:
    teams = configuration.teams
    if teams is None:
        return
    yield from _check_names("team", (team.name for team in teams))
    for names in TeamKeys(teams).shared_by:
        yield _error(
            f"teams {', '.join(names)}", "hold the same key, which identifies none of them"
        )
    for team in teams:
        yield from _check_team(team)
    closed = [route.name for route in configuration.routes if not route.is_public]
    if not closed:
        yield _warning("teams", "have no effect: all routes are public")
    elif not any(team.key_digests for team in teams):
        yield _error("teams", f"have no key, so nobody can use {', '.join(sorted(closed))}")


def _check_team(team: Team) -> Iterator[Finding]:
    entry = f"team {team.name}"
    if not team.key_digests:
        yield _warning(entry, "has no key, so no request is ever its own")
    if team.rate_per_s == 0.0 and team.burst > 0.0:
        yield _warning(entry, f"has a burst of {team.burst:g}, but no rate: nothing limits it")
    elif team.rate_per_s > 0.0 and team.burst < 1.0:
        yield _warning(
            entry, f"has a rate of {team.rate_per_s:g} per second, but a burst below 1; use 1"
        )


def _check_limits(limits: ClientLimits) -> Iterator[Finding]:
    for field in limits.__struct_fields__:
        value = getattr(limits, field)
        if value <= 0:
            yield _error("limits", f"{field} is {value}, so no request passes; use more than 0")


def _check_names(kind: str, names: Iterable[str]) -> Iterator[Finding]:
    for name, count in Counter(names).items():
        if count > 1:
            yield _error(f"{kind} {name}", f"stands {count} times; give each its own name")


# Differences.


def _routes_by_name(configuration: Configuration) -> dict[str, msgspec.Struct]:
    return {route.name: route for route in configuration.routes}


class _Service(msgspec.Struct, frozen=True):
    connections: int


def _services_by_name(configuration: Configuration) -> dict[str, msgspec.Struct]:
    return {name: _Service(n) for name, n in configuration.connections_by_service.items()}


def _teams_by_name(configuration: Configuration) -> dict[str, Team]:
    return {team.name: team for team in configuration.teams or ()}


def _compare_entries(
    kind: str, before: Mapping[str, msgspec.Struct], after: Mapping[str, msgspec.Struct]
) -> Iterator[Difference]:
    for name in sorted(before.keys() | after.keys()):
        entry = f"{kind} {name}"
        if name not in after:
            yield Difference(entry, "is removed")
        elif name not in before:
            yield Difference(entry, "is added")
        else:
            yield from _compare_fields(entry, before[name], after[name])


def _compare_fields(
    entry: str, before: msgspec.Struct, after: msgspec.Struct
) -> Iterator[Difference]:
    for field in before.__struct_fields__:
        old, new = getattr(before, field), getattr(after, field)
        if old != new and field != "key_digests":
            yield Difference(entry, f"{field} changes from {_shown(old)} to {_shown(new)}")


def _shown(value: object) -> str:
    if isinstance(value, tuple):
        return ", ".join(f"{part.service} {part.weight:g}" for part in value)
    return str(value.name.lower()) if isinstance(value, Enum) else str(value)


def _compare_keys(before: dict[str, Team], after: dict[str, Team]) -> Iterator[Difference]:
    for name in sorted(before.keys() | after.keys()):
        old = set(before[name].key_digests) if name in before else set()
        new = set(after[name].key_digests) if name in after else set()
        if old - new:
            left = f"{len(new)} left" if new else "none left"
            yield Difference(f"team {name}", f"loses {len(old - new)} of {len(old)} keys, {left}")
        if new - old:
            yield Difference(f"team {name}", f"gains {len(new - old)} keys")
