"""Find the route of a request in the configuration in force."""

from daisywharf._configuration import Configuration, Route


class RouteTable:
    """Hold the routes of each host, the longest prefix first."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.routes_by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self.routes_by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self.routes_by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)


def find_route(table: RouteTable, *, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that begins the path, or none."""
    routes = table.routes_by_host.get(host.lower())
    if routes is None:
        routes = table.routes_by_host.get(host.rpartition(":")[0].lower(), [])
    return next((route for route in routes if path.startswith(route.path_prefix)), None)
