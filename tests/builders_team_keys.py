"""Build configurations with teams, as the operator writes them and as daemons use them."""

from typing import Any

from builders_mesh import configuration, route
from daisywharf._configuration import Configuration, Route, Team
from daisywharf._ids import TeamName
from daisywharf._mesh._team_keys import digest_key


def team(name: str, *keys: str, **changes: Any) -> Team:
    """Build a team that holds these keys."""
    digests = tuple(digest_key(key.encode()) for key in keys)
    return Team(name=TeamName(name), key_digests=digests, **changes)


def with_teams(*teams: Team, routes: tuple[Route, ...] = (), version: int = 1) -> Configuration:
    """Build a configuration with these teams and, by default, a route that isn't public."""
    base = configuration(*(routes or (route(),)), version=version)
    return Configuration(
        base.version, base.routes, base.limits, base.connections_by_service, tuple(teams)
    )


def team_entry(name: str, *keys: Any, **changes: Any) -> dict[str, Any]:
    """Build a team as the operator writes it to the store."""
    content = {"apiKeys": list(keys), "priority": 1, "ratePerS": 5, "burst": 5, **changes}
    return {"resourceKind": "tenants", "metadata": {"name": name}, "specification": content}


def document(*entries: Any, version: int = 1) -> dict[str, Any]:
    """Build a configuration as the operator writes it to the store."""
    return {"version": version, "resources": list(entries)}
