"""Responses that aren't valid HTTP/1.1 are never passed to a client as a target's answer."""

import asyncio

import pytest

from builders_mesh import in_loop
from test_mesh_answers import WHOLE, Behave, ask_raw_target

HEAD = "Attempt-Id: {id}\r\nServer-Signature: s\r\n"
LENGTH = f"Content-Length: {len(WHOLE)}\r\n"

# The status line, and the lines that state the length of the body.
INVALID = {
    "status-000": ("HTTP/1.1 000 ", LENGTH),
    "status-000-with-reason": ("HTTP/1.1 000 Unknown", LENGTH),
    "status-000-without-length": ("HTTP/1.1 000 Unknown", ""),
    "status-001": ("HTTP/1.1 001 Odd", LENGTH),
    "status-099": ("HTTP/1.1 099 Odd", LENGTH),
    "status-600": ("HTTP/1.1 600 Odd", LENGTH),
    "status-999": ("HTTP/1.1 999 Odd", LENGTH),
    "status-of-two-digits": ("HTTP/1.1 20 OK", LENGTH),
    "status-of-four-digits": ("HTTP/1.1 2000 OK", LENGTH),
    "negative-status": ("HTTP/1.1 -200 OK", LENGTH),
    "version-0.9": ("HTTP/0.9 200 OK", LENGTH),
    "version-2.0": ("HTTP/2.0 200 OK", LENGTH),
    "version-1.7": ("HTTP/1.7 200 OK", LENGTH),
    "nul-in-the-reason": ("HTTP/1.1 200 O\x00K", LENGTH),
    "escape-in-the-reason": ("HTTP/1.1 200 \x1b[31mOK", LENGTH),
    "delete-in-the-reason": ("HTTP/1.1 200 O\x7fK", LENGTH),
    "two-lengths": ("HTTP/1.1 200 OK", LENGTH + "Content-Length: 3\r\n"),
    "length-list": ("HTTP/1.1 200 OK", f"Content-Length: {len(WHOLE)}, 3\r\n"),
    "length-and-chunks": ("HTTP/1.1 200 OK", LENGTH + "Transfer-Encoding: chunked\r\n"),
    "control-byte-in-a-header": ("HTTP/1.1 200 OK", LENGTH + "X-Odd: a\x01b\r\n"),
}


def _respond_with(name: str) -> Behave:
    status_line, length_lines = INVALID[name]

    async def behave(_number: int, request_id: str, writer: asyncio.StreamWriter) -> None:
        head = f"{status_line}\r\n{HEAD.format(id=request_id)}{length_lines}\r\n"
        writer.write(head.encode("latin-1") + WHOLE)

    return behave


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_response_counts_as_a_cut_one(name: str) -> None:
    """Such a response was passed on, or its request waited for another one until its deadline."""

    async def scenario() -> None:
        (got,), target = await ask_raw_target(_respond_with(name))
        assert got.status == 502
        assert got.body == b""
        assert target.requests == 1

    in_loop(scenario)


@pytest.mark.parametrize("name", INVALID)
def test_a_request_that_may_run_again_is_retried_after_an_invalid_response(name: str) -> None:
    async def scenario() -> None:
        (got,), target = await ask_raw_target(
            _respond_with(name), is_idempotent=True, sound_target=True
        )
        assert got.status == 200
        assert got.body == WHOLE
        assert target.requests <= 1

    in_loop(scenario)


def test_a_connection_with_an_invalid_response_is_not_used_again() -> None:
    async def scenario() -> None:
        answers, target = await ask_raw_target(_respond_with("status-000"), times=2)
        assert [got.status for got in answers] == [502, 502]
        assert target.connections == 2

    in_loop(scenario)


@pytest.mark.parametrize("status", [200, 299, 404, 599])
def test_the_statuses_at_the_bounds_are_passed_on(status: int) -> None:
    async def behave(_number: int, request_id: str, writer: asyncio.StreamWriter) -> None:
        head = f"HTTP/1.1 {status} Fine by me\r\n{HEAD.format(id=request_id)}{LENGTH}\r\n"
        writer.write(head.encode() + WHOLE)

    async def scenario() -> None:
        (got,), _ = await ask_raw_target(behave)
        assert (got.status, got.body) == (status, WHOLE)

    in_loop(scenario)


def test_an_answer_of_http_1_0_is_passed_on() -> None:
    async def behave(_number: int, request_id: str, writer: asyncio.StreamWriter) -> None:
        writer.write(f"HTTP/1.0 200 OK\r\n{HEAD.format(id=request_id)}{LENGTH}\r\n".encode())
        writer.write(WHOLE)

    async def scenario() -> None:
        (got,), _ = await ask_raw_target(behave)
        assert (got.status, got.body) == (200, WHOLE)

    in_loop(scenario)
