"""The configuration in force: apply it to this daemon, and distribute it to the others."""

from collections.abc import Callable

from daisywharf._configuration import Configuration
from daisywharf._contract import Importance
from daisywharf._mesh._configuration_frames import decode_configuration, encode_configuration
from daisywharf._mesh._distribution import Distribution, Send, may_send, next_source, record_source
from daisywharf._mesh._entry import Entry
from daisywharf._mesh._frames import ConfigurationCopy, ConfigurationRequest, StatusUpdate
from daisywharf._mesh._gate import Gate
from daisywharf._mesh._http_server import HttpServer
from daisywharf._mesh._membership import Membership
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event


class InForce:
    """Put configurations in force, and keep the newest one encoded for other daemons."""

    def __init__(
        self,
        *,
        entry: Entry,
        gate: Gate,
        clients: HttpServer,
        membership: Membership,
        status: Callable[[], StatusUpdate],
        confirmed_age_s: Callable[[], float],
        now: Callable[[], float],
    ) -> None:
        self.entry = entry
        self.gate = gate
        self.clients = clients
        self.membership = membership
        self.status = status
        self.confirmed_age_s = confirmed_age_s
        self.now = now
        self.distribution = Distribution()
        self._encoded = b""
        # Whether the version in force is a copy of a release that leaves out teams.
        self._may_lack_teams = False

    @property
    def version(self) -> int:
        """Return the version in force, or 0."""
        return self.entry.version

    @property
    def confirmable_version(self) -> int | None:
        """Return the version that other daemons can confirm to be in force here, or None.

        A version that may lack its teams isn't confirmed, so that this daemon reads the store.
        """
        return None if self._may_lack_teams else self.version

    def put_in_force(
        self, configuration: Configuration, *, source: str, lists_teams: bool = True
    ) -> None:
        """Put a version in force if it is newer than the present one, or replaces it."""
        earlier = self.version
        if not self._is_wanted(configuration.version, lists_teams=lists_teams):
            return
        self.entry.put_in_force(configuration)
        self._may_lack_teams = not lists_teams
        self.clients.limits = configuration.limits
        ceiling = float(_least_importance(configuration) + 1)
        self.entry.services.ceiling = self.gate.ceiling = ceiling
        log_event(
            Event.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            earlier=earlier,
            confirmed_s=self.confirmed_age_s(),
            source=source,
        )
        self._encoded = encode_configuration(configuration)
        # The zone's other daemons request a copy. Other zones have their own watchers.
        self.notify_zone()

    def notify_zone(self) -> None:
        """Send the zone's daemons the version in force here and the age of its confirmation."""
        status = self.status()
        for link in self.membership.open_links_in_zone().values():
            link.send(status)

    def record_offered_version(self, version: int, send: Send) -> None:
        """Record the sender as a source of a newer version, and request a copy if one is due."""
        if version > self.version:
            record_source(self.distribution, known=self.version, offered=version, send=send)
            self.tick(now=self.now())

    def tick(self, *, now: float) -> None:
        """Request a copy of a newer version from the next source, if the last one sent none."""
        send = next_source(self.distribution, known=self.version, now=now)
        if send is not None:
            send(ConfigurationRequest())

    def send_to(self, send: Send) -> None:
        """Send a copy to a daemon that asks, unless too much was sent just now."""
        if self._encoded and may_send(self.distribution, len(self._encoded), now=self.now()):
            lists_teams = not self._may_lack_teams
            send(ConfigurationCopy(self.version, self._encoded, lists_teams=lists_teams))

    def receive(self, frame: ConfigurationCopy, *, source: str) -> None:
        """Put a copy from another daemon in force; raise `msgspec.DecodeError` if malformed.

        A copy that may lack its teams would let requests pass without a key, so it is used only
        where the version in force has none. The next source, or the store, has the whole version,
        which replaces such a copy.
        """
        if self._is_wanted(frame.version, lists_teams=frame.lists_teams):
            self.put_in_force(
                decode_configuration(frame.body), source=source, lists_teams=frame.lists_teams
            )

    def _is_wanted(self, version: int, *, lists_teams: bool) -> bool:
        if version > self.version:
            return lists_teams or self._has_no_teams()
        return version == self.version and lists_teams and self._may_lack_teams

    def _has_no_teams(self) -> bool:
        table = self.entry.table
        return table is not None and table.team_keys is None


def _least_importance(configuration: Configuration) -> Importance:
    """Return the least importance that a request may have in a configuration."""
    importances = [route.importance for route in configuration.routes]
    teams = configuration.teams or ()
    importances += [team.importance for team in teams if team.importance is not None]
    return max(importances, default=Importance.LOW)
