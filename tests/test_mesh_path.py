"""The path of a request: from its entry through another daemon's gate to a target and back."""

import asyncio

from builders_mesh import (
    Client,
    MeshWorld,
    SeenRequest,
    TargetStandIn,
    eventually,
    header_of,
    in_loop,
    route,
)
from daisywharf._mesh._http_answers import HttpAnswer, HttpResult


async def _two_daemons(target: TargetStandIn, *routes: object) -> MeshWorld:
    """Start an entry without a target and a daemon beside one."""
    world = MeshWorld(*routes)  # type: ignore[arg-type]
    await world.add(service="catalogue")
    await world.add(target)
    await world.settle()
    return world


def test_a_request_reaches_the_target_of_another_daemon_and_its_answer_returns() -> None:
    async def scenario() -> None:
        target = TargetStandIn(lambda seen: seen.answer(201, b"made", X_Kept="yes"))
        world = await _two_daemons(target)
        answer = await Client(world.daemons[0]).ask(
            "/r/x?y=1", method="POST", body=b"order", Caller_Service="forged", X_Own="1"
        )
        assert isinstance(answer, HttpAnswer)
        assert (answer.status, answer.body) == (201, b"made")
        assert header_of(answer, "X-Kept") == "yes"
        seen = target.seen[0]
        assert (seen.method, seen.path, seen.body) == ("POST", "/r/x?y=1", b"order")
        assert seen.header["caller-service"] == "catalogue"
        assert seen.header["expected-instance"] == "t-vm-2"
        assert seen.header["attempt-id"] == "id-1"
        assert seen.header["x-own"] == "1"
        assert 4000 < int(seen.header["deadline-ms"]) <= 5000
        await world.close()

    in_loop(scenario)


def test_an_idempotent_request_that_a_target_failed_is_retried_at_another() -> None:
    async def scenario() -> None:
        def fail(seen: SeenRequest) -> None:
            seen.answer(500, b"broken")

        world = MeshWorld()
        failing, sound = TargetStandIn(fail), TargetStandIn()
        await world.add(failing)
        await world.add(sound)
        await world.settle()
        client = Client(world.daemons[0])
        answers = [await client.ask() for _ in range(12)]
        assert [a.status for a in answers if isinstance(a, HttpAnswer)] == [200] * 12
        assert failing.seen
        await world.close()

    in_loop(scenario)


def test_a_target_s_failed_answer_is_passed_on_if_no_other_target_is_left() -> None:
    async def scenario() -> None:
        target = TargetStandIn(lambda seen: seen.answer(500, b"why"))
        world = await _two_daemons(target)
        answer = await Client(world.daemons[0]).ask()
        assert isinstance(answer, HttpAnswer)
        assert (answer.status, answer.body) == (500, b"why")
        assert header_of(answer, "Server-Signature") == "s"
        assert len(target.seen) == 1
        await world.close()

    in_loop(scenario)


def test_a_non_idempotent_request_that_a_target_failed_is_not_retried() -> None:
    async def scenario() -> None:
        target = TargetStandIn(lambda seen: seen.answer(500, b"broken"))
        world = MeshWorld(route(is_idempotent=False))
        await world.add(target)
        await world.add(TargetStandIn(lambda seen: seen.answer(500, b"broken")))
        await world.settle()
        answer = await Client(world.daemons[0]).ask(method="POST", body=b"order")
        assert isinstance(answer, HttpAnswer)
        assert (answer.status, answer.body) == (500, b"broken")
        assert sum(len(t.seen) for t in world.targets) == 1
        await world.close()

    in_loop(scenario)


def test_the_connection_to_the_target_is_closed_when_the_client_disconnects() -> None:
    async def scenario() -> None:
        target = TargetStandIn(lambda seen: None)
        world = await _two_daemons(target)
        results: list[HttpResult] = []
        asked = Client(world.daemons[0]).send("/r/x", results.append)
        await eventually(lambda: len(target.seen) == 1)
        asked.cancel()
        await eventually(lambda: target.gone == 1)
        assert not results
        await world.close()

    in_loop(scenario)


def test_a_request_is_answered_504_at_its_route_s_timeout() -> None:
    async def scenario() -> None:
        target = TargetStandIn(lambda seen: None)
        world = await _two_daemons(target, route(timeout_s=0.2))
        answer = await Client(world.daemons[0]).ask()
        assert isinstance(answer, HttpAnswer)
        assert answer.status == 504
        assert int(target.seen[0].header["deadline-ms"]) <= 200
        await world.close()

    in_loop(scenario)


def test_a_path_without_a_route_is_not_found_once_a_configuration_is_known() -> None:
    async def scenario() -> None:
        world = MeshWorld()
        configured = world.store.configuration
        world.store.configuration = None
        daemon = await world.add(TargetStandIn())
        client = Client(daemon)
        early = await client.ask("/nowhere/")
        assert isinstance(early, HttpAnswer)
        assert early.status == 503
        assert not daemon.is_ready
        assert configured is not None
        world.store.change(configured)
        await eventually(lambda: daemon.is_ready)
        late = await client.ask("/nowhere/")
        assert isinstance(late, HttpAnswer)
        assert late.status == 404
        await world.close()

    in_loop(scenario)


def test_requests_that_are_pipelined_are_answered_in_order() -> None:
    async def scenario() -> None:
        held: list[SeenRequest] = []

        def behave(seen: SeenRequest) -> None:
            if seen.path == "/r/first":
                held.append(seen)
            else:
                seen.answer(body=b"second")

        world = await _two_daemons(TargetStandIn(behave))
        address = world.daemons[0].settings.entry_address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        for number, path in enumerate(("first", "second")):
            writer.write(
                f"GET /r/{path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: p{number}\r\n"
                "Deadline-Ms: 5000\r\n\r\n".encode()
            )
        await eventually(lambda: len(world.targets[0].seen) == 2)
        held[0].answer(body=b"first")
        received = await reader.readuntil(b"second")
        assert received.index(b"first") < received.index(b"second")
        writer.close()
        await world.close()

    in_loop(scenario)
