"""Find the route of a request in the configuration in force."""

from daisywharf._configuration import Configuration, Route
from daisywharf._mesh._team_keys import team_keys_of


class RouteTable:
    """Index a configuration: routes by host and path prefix, and teams by key."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.route_by_prefix: dict[tuple[str, str], Route] = {
            (route.host.lower(), route.path_prefix): route for route in configuration.routes
        }
        self.team_keys = team_keys_of(configuration)


def find_route(table: RouteTable, *, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix of the path, or None.

    Tries the host as given, then without its port. Prefixes begin and end with a slash, so a path
    has at most one candidate per slash.
    """
    name = host.lower()
    return _longest_match(table, name, path) or _longest_match(table, name.rpartition(":")[0], path)


def _longest_match(table: RouteTable, host: str, path: str) -> Route | None:
    end = path.rfind("/")
    while end >= 0:
        route = table.route_by_prefix.get((host, path[: end + 1]))
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None
