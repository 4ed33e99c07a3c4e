"""Requests with teams' keys: who passes, who is denied, and where a key must never appear."""

import asyncio
from random import Random
from typing import Any

import msgspec
import pytest

from builders_mesh import (
    Client,
    MeshWorld,
    SeenRequest,
    TargetStandIn,
    configuration,
    daemon_at_rest,
    eventually,
    in_loop,
    route,
)
from builders_team_keys import document, team, team_entry, with_teams
from daisywharf._configuration import Configuration
from daisywharf._contract import Importance
from daisywharf._mesh import _entry
from daisywharf._mesh._configuration_frames import decode_configuration, encode_configuration
from daisywharf._mesh._frames import Call, ConfigurationCopy, Frame, encode_frame
from daisywharf._mesh._http_answers import HttpAnswer
from daisywharf._mesh._http_client import HttpPool
from daisywharf._mesh._team_keys import TeamKeys, digest_key, find_team
from daisywharf._signals._events import Event
from daisywharf.platform import _configuration as adapter
from daisywharf.platform._configuration import read_configuration

KEY = "3nax7u27gxprymh2rryt"
OTHER_KEY = "apjsujqurtyiikdrbn4r"


async def _world(config: Configuration, target: TargetStandIn | None = None) -> MeshWorld:
    """Start an entry without a target and a daemon with one."""
    world = MeshWorld()
    world.store.configuration = config
    await world.add(service="catalogue")
    await world.add(target or TargetStandIn())
    await world.settle()
    return world


async def _status(client: Client, path: str = "/r/x", **headers: str) -> int:
    answer = await client.ask(path, **headers)
    assert isinstance(answer, HttpAnswer)
    return answer.status


def test_a_target_gets_the_team_s_name_and_never_the_key() -> None:
    async def scenario() -> None:
        target = TargetStandIn()
        world = await _world(with_teams(team("harbour", KEY)), target)
        client = Client(world.daemons[0])
        assert await _status(client, Credential=KEY, Tenant="forged") == 200
        seen = target.seen[0].exchange.headers
        assert [value for name, value in seen if name.lower() == b"tenant"] == [b"harbour"]
        assert KEY.encode() not in b"".join(name + value for name, value in seen)
        await world.close()

    in_loop(scenario)


@pytest.mark.parametrize(
    "headers",
    [
        {},
        {"Credential": "unknown"},
        {"Credential": ""},
        {"Credential": KEY[:-1]},
        {"Credential": f"{KEY}x"},
        {"Credential": KEY.upper()},
        {"Tenant": "harbour"},
        # Two keys: which of them is the caller's isn't known.
        {"Credential": OTHER_KEY, "credential": KEY},
    ],
)
def test_a_request_without_a_valid_key_is_denied_and_reaches_no_target(
    headers: dict[str, str],
) -> None:
    async def scenario() -> None:
        target = TargetStandIn()
        world = await _world(with_teams(team("harbour", KEY)), target)
        assert await _status(Client(world.daemons[0]), **headers) == 401
        assert not target.seen
        await world.close()

    in_loop(scenario)


def test_a_denied_request_is_denied_although_its_route_seems_to_carry_targets_calls() -> None:
    """A guess of a request's origin must not let a caller pass without a key."""

    async def scenario() -> None:
        target = TargetStandIn()
        world = await _world(with_teams(team("harbour", KEY)), target)
        entry = world.daemons[0].entry
        entry.origins.call_routes = frozenset({route().name})
        assert await _status(Client(world.daemons[0])) == 401
        assert not target.seen
        await world.close()

    in_loop(scenario)


def test_a_public_route_needs_no_key_and_passes_none_on() -> None:
    async def scenario() -> None:
        target = TargetStandIn()
        public = route("p", is_public=True)
        world = await _world(with_teams(team("harbour", KEY), routes=(public,)), target)
        client = Client(world.daemons[0])
        assert await _status(client, "/p/x") == 200
        assert await _status(client, "/p/x", Credential="unknown", Tenant="forged") == 200
        for seen in target.seen:
            assert "credential" not in seen.header
            assert "tenant" not in seen.header
        await world.close()

    in_loop(scenario)


def test_without_teams_the_headers_of_teams_are_passed_on_like_any_others() -> None:
    async def scenario() -> None:
        target = TargetStandIn()
        world = await _world(configuration(route()), target)
        assert await _status(Client(world.daemons[0]), Credential=KEY, Tenant="x") == 200
        assert target.seen[0].header["credential"] == KEY
        assert target.seen[0].header["tenant"] == "x"
        await world.close()

    in_loop(scenario)


def test_a_removed_key_is_denied_and_works_again_once_it_is_added_again() -> None:
    async def scenario() -> None:
        world = await _world(with_teams(team("harbour", KEY, OTHER_KEY)))
        client = Client(world.daemons[0])
        for version, keys, status in ((2, (OTHER_KEY,), 401), (3, (OTHER_KEY, KEY), 200)):
            world.store.change(with_teams(team("harbour", *keys), version=version))
            await eventually(lambda v=version: all(d.version == v for d in world.daemons))
            assert await _status(client, Credential=KEY) == status
            assert await _status(client, Credential=OTHER_KEY) == 200
        await world.close()

    in_loop(scenario)


def test_a_request_that_waits_while_its_key_is_removed_is_still_served() -> None:
    """The request was allowed when it arrived; a refusal now would lose work for nothing."""

    async def scenario() -> None:
        held: list[SeenRequest] = []
        world = await _world(with_teams(team("harbour", KEY)), TargetStandIn(held.append))
        client = Client(world.daemons[0])
        results: list[object] = []
        client.send("/r/x", results.append, Credential=KEY)
        await eventually(lambda: len(held) == 1)
        world.store.change(with_teams(team("harbour"), version=2))
        await eventually(lambda: all(daemon.version == 2 for daemon in world.daemons))
        assert await _status(client, Credential=KEY) == 401
        held[0].answer()
        await eventually(lambda: len(results) == 1)
        assert isinstance(results[0], HttpAnswer)
        assert results[0].status == 200
        await world.close()

    in_loop(scenario)


def test_a_daemon_that_starts_without_the_store_takes_digests_from_a_peer() -> None:
    """Without a configuration it must answer 503: a 401 would tell clients not to come back."""

    async def scenario() -> None:
        world = await _world(with_teams(team("harbour", KEY)))
        world.store.is_down = True
        fresh = await world.add(service="catalogue")
        assert await _status(Client(fresh), Credential=KEY) == 503
        fresh.membership.open_seed_link(world.daemons[0].settings.links_address)
        await eventually(lambda: fresh.version == 1)
        assert await _status(Client(fresh), Credential=KEY) == 200
        assert await _status(Client(fresh), Credential="unknown") == 401
        await world.close()

    in_loop(scenario)


def test_a_copy_from_a_release_without_teams_opens_no_route() -> None:
    """A daemon of an older release decodes a configuration, and encodes it without its teams."""
    daemon = daemon_at_rest()
    daemon.in_force.put_in_force(with_teams(team("harbour", KEY)), source="the store")
    older = ConfigurationCopy(2, encode_configuration(configuration(route(), version=2)))
    daemon.in_force.receive(older, source="vm-2")
    assert daemon.version == 1
    newer = with_teams(team("harbour"), version=2)
    daemon.in_force.receive(
        ConfigurationCopy(2, encode_configuration(newer), lists_teams=True), source="vm-3"
    )
    assert daemon.version == 2


def test_a_copy_from_a_release_without_teams_is_used_where_there_are_none() -> None:
    daemon = daemon_at_rest()
    daemon.in_force.put_in_force(configuration(route()), source="the store")
    older = ConfigurationCopy(2, encode_configuration(configuration(route(), version=2)))
    daemon.in_force.receive(older, source="vm-2")
    assert daemon.version == 2


def test_the_store_s_version_replaces_a_copy_that_lacks_its_teams() -> None:
    """The copy has the same version, so the routes stayed open until the next one."""
    daemon = daemon_at_rest()
    daemon.in_force.put_in_force(configuration(route()), source="the store")
    stripped = ConfigurationCopy(2, encode_configuration(configuration(route(), version=2)))
    daemon.in_force.receive(stripped, source="vm-2")
    complete = with_teams(team("harbour", KEY), version=2)
    daemon.in_force.put_in_force(complete, source="the store")
    assert daemon.entry.table is not None
    assert daemon.entry.table.configuration == complete
    # Neither the same copy nor another one of a release without teams undoes that.
    daemon.in_force.receive(stripped, source="vm-2")
    assert daemon.entry.table.configuration == complete


def test_a_full_copy_replaces_one_that_lacks_its_teams() -> None:
    daemon = daemon_at_rest()
    daemon.in_force.put_in_force(configuration(route()), source="the store")
    stripped = ConfigurationCopy(2, encode_configuration(configuration(route(), version=2)))
    daemon.in_force.receive(stripped, source="vm-2")
    complete = with_teams(team("harbour", KEY), version=2)
    daemon.in_force.receive(
        ConfigurationCopy(2, encode_configuration(complete), lists_teams=True), source="vm-3"
    )
    assert daemon.entry.table is not None
    assert daemon.entry.table.configuration == complete


def test_a_copy_that_lacks_its_teams_is_never_passed_on_as_a_full_one() -> None:
    """A daemon that had just started took such a copy, and let requests pass without a key."""
    daemon = daemon_at_rest()
    daemon.in_force.put_in_force(configuration(route()), source="the store")
    stripped = ConfigurationCopy(2, encode_configuration(configuration(route(), version=2)))
    daemon.in_force.receive(stripped, source="vm-2")
    sent: list[Frame] = []
    daemon.in_force.send_to(sent.append)
    fresh = daemon_at_rest()
    for frame in sent:
        assert isinstance(frame, ConfigurationCopy)
        fresh.in_force.receive(frame, source="vm-1")
    assert fresh.version == 0


def test_a_copy_that_lacks_its_teams_is_not_confirmed_by_others() -> None:
    """Confirmed by others, a daemon that doesn't watch the store would never read it."""
    daemon = daemon_at_rest()
    daemon.in_force.put_in_force(configuration(route()), source="the store")
    assert daemon.in_force.confirmable_version == 1
    stripped = ConfigurationCopy(2, encode_configuration(configuration(route(), version=2)))
    daemon.in_force.receive(stripped, source="vm-2")
    assert daemon.version == 2
    assert daemon.in_force.confirmable_version is None
    daemon.in_force.put_in_force(configuration(route(), version=2), source="the store")
    assert daemon.in_force.confirmable_version == 2


def test_a_daemon_that_does_not_watch_the_store_replaces_a_copy_that_lacks_its_teams() -> None:
    """The others have the same version, so it isn't told of a newer one."""

    async def scenario() -> None:
        world = MeshWorld()
        world.store.configuration = configuration(route())
        for _ in range(4):
            await world.add()
        await world.settle()
        await eventually(lambda: sum(d.sync.is_watching for d in world.daemons) == 2)
        follower = next(d for d in world.daemons if not d.sync.is_watching)
        stripped = ConfigurationCopy(2, encode_configuration(configuration(route(), version=2)))
        follower.in_force.receive(stripped, source="vm-older")
        world.store.change(with_teams(team("harbour", KEY), version=2))
        await eventually(lambda: all(d.version == 2 for d in world.daemons))
        await eventually(lambda: follower.in_force.confirmable_version == 2, within_s=4.0)
        assert await _status(Client(follower)) == 401
        await world.close()

    in_loop(scenario)


def test_frames_to_other_daemons_hold_no_key(monkeypatch: pytest.MonkeyPatch) -> None:
    config = read_configuration(document(team_entry("harbour", KEY)))
    encoded = encode_configuration(config)
    assert KEY.encode() not in encoded
    assert decode_configuration(encoded) == config

    calls: list[Call] = []

    async def scenario() -> None:
        world = await _world(with_teams(team("harbour", KEY)))
        entry = world.daemons[0].entry
        build_call = entry._build_call

        def record(*arguments: Any, **named: Any) -> Call:
            calls.append(build_call(*arguments, **named))
            return calls[-1]

        monkeypatch.setattr(entry, "_build_call", record)
        assert await _status(Client(world.daemons[0]), Credential=KEY) == 200
        await world.close()

    in_loop(scenario)
    assert calls
    assert all(KEY.encode() not in encode_frame(call) for call in calls)


def test_log_lines_name_the_team_and_never_a_key(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []

    def record(event: Event, **fields: Any) -> None:
        lines.append(f"{event.name} {fields!r}")

    monkeypatch.setattr("daisywharf._mesh._pending.log_event", record)
    monkeypatch.setattr(_entry, "log_event", record)
    monkeypatch.setattr(adapter, "log_event", record)

    async def scenario() -> None:
        world = await _world(with_teams(team("harbour", KEY), team("pilots", OTHER_KEY)))
        client = Client(world.daemons[0])
        assert await _status(client, Credential=KEY) == 200
        assert await _status(client, Credential="not-a-key-of-anyone") == 401
        world.daemons[0].entry.sampled_at = float("-inf")
        assert await _status(client, Credential=OTHER_KEY) == 200
        await world.close()

    in_loop(scenario)
    read_configuration(document(team_entry("harbour", KEY, ratePerS="often")))
    read_configuration(document({"resourceKind": "tenants", "specification": [KEY]}))
    read_configuration(document([KEY], team_entry("harbour", KEY, 7, OTHER_KEY)))
    logged = "\n".join(lines)
    assert "'team': 'harbour'" in logged
    assert "unknown-key" in logged
    assert "ENTRY_UNREADABLE" in logged
    for key in (KEY, OTHER_KEY, "not-a-key-of-anyone"):
        assert key not in logged


# Entries of the configuration.


def test_a_team_s_entry_is_decoded() -> None:
    config = read_configuration(document(team_entry("harbour", KEY, KEY, priority=0, burst=7)))
    assert config.teams is not None
    found = config.teams[0]
    assert (found.name, found.importance) == ("harbour", Importance.CRITICAL)
    assert (found.rate_per_s, found.burst) == (5.0, 7.0)
    assert found.key_digests == (digest_key(KEY.encode()),)


@pytest.mark.parametrize(
    "entry",
    [
        team_entry("bad", KEY, ratePerS="often"),
        team_entry("bad", KEY, ratePerS=-1),
        team_entry("bad", KEY, burst=float("inf")),
        team_entry("bad", KEY, apiKeys=KEY),
        team_entry("bad", KEY, priority="first"),
        team_entry("", KEY),
        team_entry("bad\r\nCaller-Service: x", KEY),
        # A target drops the space and would take the requests for those of the other team.
        team_entry("harbour ", KEY),
        team_entry(" harbour", KEY),
        team_entry("n" * 10_000, KEY),
        {"resourceKind": "tenants", "metadata": None, "specification": None},
        {"resourceKind": "tenants"},
    ],
)
def test_an_odd_team_costs_only_itself(entry: dict[str, Any]) -> None:
    config = read_configuration(document(entry, team_entry("harbour", OTHER_KEY)))
    assert config.teams is not None
    assert [found.name for found in config.teams] == ["harbour"]
    keys = TeamKeys(config.teams)
    assert find_team(keys, KEY.encode()) is None
    assert find_team(keys, OTHER_KEY.encode()) is not None


def test_an_odd_team_alone_doesn_t_open_the_routes() -> None:
    config = read_configuration(document(team_entry("bad", KEY, ratePerS="often")))
    assert config.teams == ()


def test_a_team_without_keys_and_one_without_a_quota_are_teams() -> None:
    bare = {"resourceKind": "tenants", "metadata": {"name": "bare"}, "specification": {}}
    config = read_configuration(document(bare))
    assert config.teams is not None
    assert config.teams[0].key_digests == ()
    assert config.teams[0].importance is None
    assert config.teams[0].rate_per_s == 0.0


def test_a_configuration_without_teams_has_none() -> None:
    assert read_configuration(document()).teams is None


def test_a_key_of_two_teams_identifies_neither_and_is_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[dict[str, Any]] = []
    monkeypatch.setattr(_entry, "log_event", lambda _event, **fields: logged.append(fields))
    config = with_teams(team("harbour", KEY, OTHER_KEY), team("pilots", KEY))
    keys = TeamKeys(config.teams or ())
    assert find_team(keys, KEY.encode()) is None
    assert find_team(keys, OTHER_KEY.encode()) is not None
    daemon_at_rest().entry.put_in_force(config)
    assert logged == [{"teams": "harbour, pilots", "version": 1}]


def test_a_key_that_moves_to_another_team_is_that_team_s_from_then_on() -> None:
    before = TeamKeys((team("harbour", KEY), team("pilots")))
    after = TeamKeys((team("harbour"), team("pilots", KEY)))
    found = [find_team(keys, KEY.encode()) for keys in (before, after)]
    assert [holder.name for holder in found if holder is not None] == ["harbour", "pilots"]


def test_each_of_2000_teams_is_found_by_each_of_its_keys() -> None:
    rng = Random(41)
    names = [f"team-{number}" for number in range(2_000)]
    keys_by_name = {name: (f"{rng.random()}-a", f"{rng.random()}-b") for name in names}
    keys = TeamKeys(tuple(team(name, *held) for name, held in keys_by_name.items()))
    for name, held in keys_by_name.items():
        for key in held:
            found = find_team(keys, key.encode())
            assert found is not None
            assert found.name == name


def test_a_team_s_importance_goes_before_its_route_s() -> None:
    async def scenario() -> None:
        held: list[SeenRequest] = []
        low = route("low", importance=Importance.LOW)
        plain, urgent = team("plain", KEY), team("urgent", OTHER_KEY, importance=Importance.HIGH)
        world = await _world(with_teams(plain, urgent, routes=(low,)), TargetStandIn(held.append))
        entry, client = world.daemons[0].entry, Client(world.daemons[0])
        for key in (KEY, OTHER_KEY):
            client.send("/low/x", lambda _result: None, Credential=key)
        await eventually(lambda: len(entry.pending) == 2)
        importance_by_team = {p.team_name: p.importance for p in entry.pending}
        assert importance_by_team == {"plain": Importance.LOW, "urgent": Importance.HIGH}
        await world.close()

    in_loop(scenario)


def test_a_configuration_with_teams_survives_an_older_decoder() -> None:
    """A daemon of an older release ignores the fields that it doesn't know."""

    class OlderConfiguration(msgspec.Struct):
        version: int
        routes: list[dict[str, Any]]

    encoded = encode_configuration(with_teams(team("harbour", KEY)))
    assert msgspec.msgpack.decode(encoded, type=OlderConfiguration).version == 1


def test_a_pool_client_that_reuses_a_connection_is_checked_for_each_request() -> None:
    """A connection on which one request passed must not vouch for the next one."""

    async def scenario() -> None:
        world = await _world(with_teams(team("harbour", KEY)))
        client = Client(world.daemons[0])
        assert isinstance(client.pool, HttpPool)
        assert await _status(client, Credential=KEY) == 200
        assert await _status(client) == 401
        assert await _status(client, Credential=KEY) == 200
        assert len(client.pool.open_connections) == 1
        await asyncio.sleep(0)
        await world.close()

    in_loop(scenario)
