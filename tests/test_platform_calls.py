"""The platform's interface behaves the same embedded and over HTTP."""

import threading
from collections.abc import Iterator

import pytest

from builders_platform import TIMEOUT_S, client_of, create_object, running_standin
from daisywharf import ErrorKind, PlatformError
from daisywharf._ids import EditId, Version
from daisywharf._limits import MAX_BODY_BYTES
from daisywharf._objects._embedded import EmbeddedPlatform
from daisywharf._objects._interface import Change, ObjectKind, Platform

CONTRACT = ObjectKind.CONTRACT
EDIT = EditId("e-2")


@pytest.fixture(params=["embedded", "http"])
def platform(request: pytest.FixtureRequest) -> Iterator[Platform]:
    if request.param == "embedded":
        yield EmbeddedPlatform()
        return
    with running_standin() as standin:
        yield client_of(standin)


def test_an_object_is_read_as_it_was_written(platform: Platform) -> None:
    written = create_object(platform, "a/../%2F ü?&", b'{"x": 1}')
    assert platform.get(CONTRACT, written.name, timeout_s=TIMEOUT_S) == written
    assert platform.list(CONTRACT, prefix="a/", timeout_s=TIMEOUT_S).objects == (written,)
    assert platform.list(CONTRACT, prefix="b", timeout_s=TIMEOUT_S).objects == ()
    assert platform.list(ObjectKind.DRAIN, timeout_s=TIMEOUT_S).objects == ()


def test_a_second_create_and_a_stale_update_or_delete_conflict(platform: Platform) -> None:
    first = create_object(platform)
    second = platform.update(
        CONTRACT, "a", b"[]", if_version=first.version, edit_id=EDIT, timeout_s=TIMEOUT_S
    )
    assert second.version > first.version
    stale = {"if_version": first.version, "edit_id": EDIT, "timeout_s": TIMEOUT_S}
    for write in (
        lambda: create_object(platform),
        lambda: platform.update(CONTRACT, "a", b"", **stale),  # type: ignore[arg-type]
        lambda: platform.delete(CONTRACT, "a", **stale),  # type: ignore[arg-type]
    ):
        with pytest.raises(PlatformError) as caught:
            write()
        assert caught.value.kind is ErrorKind.PLATFORM_CONFLICT
    assert platform.get(CONTRACT, "a", timeout_s=TIMEOUT_S) == second


def test_what_is_deleted_is_gone_and_its_version_is_not_used_again(platform: Platform) -> None:
    first = create_object(platform)
    deleted = platform.delete(
        CONTRACT, "a", if_version=first.version, edit_id=EDIT, timeout_s=TIMEOUT_S
    )
    with pytest.raises(PlatformError, match="contracts/a") as caught:
        platform.get(CONTRACT, "a", timeout_s=TIMEOUT_S)
    assert caught.value.kind is ErrorKind.PLATFORM_GONE
    assert create_object(platform).version > deleted > first.version


def test_a_watch_returns_what_changed_in_order(platform: Platform) -> None:
    first = create_object(platform, "a")
    second = create_object(platform, "b")
    deleted = platform.delete(
        CONTRACT, "a", if_version=first.version, edit_id=EDIT, timeout_s=TIMEOUT_S
    )
    changes = platform.watch(CONTRACT, after=first.version, timeout_s=TIMEOUT_S)
    assert changes.changes == (
        Change(CONTRACT, "b", second.version, second),
        Change(CONTRACT, "a", deleted, None),
    )
    assert platform.watch(CONTRACT, after=changes.version, timeout_s=0.05).changes == ()


def test_a_waiting_watch_blocks_no_other_call_and_returns_on_a_change(platform: Platform) -> None:
    start = platform.list(CONTRACT, timeout_s=TIMEOUT_S).version
    seen: list[str] = []

    def wait() -> None:
        changes = platform.watch(CONTRACT, after=start, timeout_s=TIMEOUT_S)
        seen.extend(change.name for change in changes.changes)

    threads = [threading.Thread(target=wait) for _ in range(12)]
    for thread in threads:
        thread.start()
    create_object(platform, "woken")
    for thread in threads:
        thread.join()
    assert seen == ["woken"] * 12


@pytest.mark.parametrize("name", ["", "n" * 129])
def test_a_name_out_of_bounds_is_refused(platform: Platform, name: str) -> None:
    with pytest.raises(PlatformError) as caught:
        create_object(platform, name)
    assert caught.value.kind is ErrorKind.BAD_REQUEST


def test_an_object_over_the_size_limit_is_refused(platform: Platform) -> None:
    with pytest.raises(PlatformError) as caught:
        create_object(platform, body=b" " * (MAX_BODY_BYTES + 1))
    assert caught.value.kind in (ErrorKind.TOO_LARGE, ErrorKind.PLATFORM_OUTCOME_UNKNOWN)
    assert platform.list(CONTRACT, timeout_s=TIMEOUT_S).objects == ()


@pytest.mark.parametrize("after", [0, 99])
def test_a_watch_from_a_version_that_is_not_retained_is_gone(after: int) -> None:
    platform = EmbeddedPlatform(max_history_changes=2)
    for name in "abc":
        create_object(platform, name)
    with pytest.raises(PlatformError, match="list contracts again") as caught:
        platform.watch(CONTRACT, after=Version(after), timeout_s=TIMEOUT_S)
    assert caught.value.kind is ErrorKind.PLATFORM_GONE
    assert len(platform.watch(CONTRACT, after=Version(1), timeout_s=TIMEOUT_S).changes) == 2


def test_many_contacts_push_no_contract_out_of_the_history() -> None:
    platform = EmbeddedPlatform(max_history_changes=2)
    create_object(platform, "kept")
    for name in "abcdef":
        platform.create(ObjectKind.CONTACT, name, b"", edit_id=EDIT, timeout_s=TIMEOUT_S)
    changes = platform.watch(CONTRACT, after=Version(0), timeout_s=TIMEOUT_S)
    assert [change.name for change in changes.changes] == ["kept"]
