"""Find the team that holds a request's key.

The lookup takes the same time however many teams are configured. Only digests of keys are stored
and sent to other daemons, so that no log line, frame or memory dump of a daemon discloses a key.
"""

import hashlib
from typing import Final

from daisywharf._configuration import Configuration, KeyDigest, Team
from daisywharf._ids import TeamName

DIGEST_BYTES: Final = 16


def digest_key(key: bytes) -> KeyDigest:
    """Return the digest that stands for a key in the configuration."""
    return KeyDigest(hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest())


class TeamKeys:
    """Index a configuration's teams by the digests of their keys.

    A key that several teams hold identifies none of them; `shared_by` lists the names of those
    teams, for each such key.
    """

    def __init__(self, teams: tuple[Team, ...]) -> None:
        self.team_by_digest: dict[KeyDigest, Team] = {}
        self.shared_by: list[tuple[TeamName, ...]] = []
        teams_by_digest: dict[KeyDigest, dict[TeamName, Team]] = {}
        for team in teams:
            for digest in team.key_digests:
                teams_by_digest.setdefault(digest, {})[team.name] = team
        for digest, team_by_name in teams_by_digest.items():
            if len(team_by_name) == 1:
                self.team_by_digest[digest] = next(iter(team_by_name.values()))
            else:
                self.shared_by.append(tuple(sorted(team_by_name)))


def team_keys_of(configuration: Configuration) -> TeamKeys | None:
    """Return the index of a configuration's keys, or None if it has no teams."""
    return None if configuration.teams is None else TeamKeys(configuration.teams)


def find_team(keys: TeamKeys, key: bytes | None) -> Team | None:
    """Return the team that holds a key, or None for a missing or unknown key."""
    return None if key is None else keys.team_by_digest.get(digest_key(key))
