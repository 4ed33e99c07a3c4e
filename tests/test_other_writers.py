"""An odd entry in the store, or an odd record from a peer, costs nothing but itself."""

import asyncio
from typing import Any, Final

import msgspec
import pytest
from benchmarks._platform_store import StoreStandIn

from builders_mesh import (
    daemon_at_rest,
    in_loop,
    member,
    settings,
)
from builders_store import with_store
from builders_virtual_fleet import VirtualFleet
from daisywharf._ids import TargetId, VmId
from daisywharf._mesh import _membership
from daisywharf._mesh._frame_protocol import FrameProtocol
from daisywharf._mesh._frames import Members, Ping, encode_frame
from daisywharf._mesh._learned import LearnedCalls
from daisywharf._mesh._model import MemberRecord, Readiness, TargetRecord
from daisywharf._signals._events import Event
from daisywharf.platform import _store
from daisywharf.platform._json import MAX_DEPTH, decode_json
from daisywharf.platform._store import ObjectStore
from virtual_net import VirtualNet, in_virtual_time

KIND: Final = "daisywharf-daemons"
# Before the names of the daemons, so that it is read first.
ODD: Final = "a-odd"
DEEP: Final = b"[" * 100_000 + b"]" * 100_000


def _record(**changes: Any) -> MemberRecord:
    return msgspec.structs.replace(member(ODD, started_ms=5), **changes)


def _target(**changes: Any) -> TargetRecord:
    given = TargetRecord(TargetId("t"), settings().service, 5, Readiness.READY, 1, 1)
    return msgspec.structs.replace(given, **changes)


def _entry(record: MemberRecord) -> bytes:
    return msgspec.json.encode({"record": record})


# Specifications of entries, as bytes.
ODD_ENTRIES: Final[dict[str, bytes]] = {
    "nested-1200": b'{"record":' + b"[" * 1_200 + b"]" * 1_200 + b"}",
    "nested-100000": b'{"record":' + DEEP + b"}",
    "nested-beside": _entry(_record())[:-1] + b',"more":' + b'{"a":' * 2_000 + b"1" + b"}" * 2_001,
    "number": b'{"record":["a-odd","a","10.0.0.9:80",1e999,0,false,null]}',
    "long-number": b'{"record":["a-odd","a","10.0.0.9:80",' + b"9" * 5_000 + b",0,false,null]}",
    "large-start": b'{"record":["a-odd","a","10.0.0.9:80",' + b"9" * 30 + b",0,false,null]}",
    "no-port": _entry(_record(address="10.0.0.9")),
    "port-0": _entry(_record(address="10.0.0.9:0")),
    "port-70000": _entry(_record(address="10.0.0.9:70000")),
    "long-port": _entry(_record(address="10.0.0.9:" + "9" * 5_000)),
    "long-host": _entry(_record(address="h" * 300 + ":80")),
    "other-name": _entry(_record(vm=VmId("antwerpen-1"), started_ms=10**15)),
    "no-utf-8": b'{"record":["a-odd","\xff\xfe","10.0.0.9:80",1,0,false,null]}',
    "large-born": _entry(_record(target=_target(born_ms=2**60))),
    "large-sequence": _entry(_record(target=_target(sequence=2**60))),
    "negative-slots": _entry(_record(target=_target(slots=-1))),
    "text": b'"nonsense"',
    "null": b"null",
}
# Whole entries.
ODD_ITEMS: Final = (b"null", b"[]", b'{"metadata":null}', b'{"metadata":{"name":7}}', DEEP)


class LoggedEvents:
    """Events that a module logged, with their fields."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *modules: Any) -> None:
        self.events: list[tuple[Event, dict[str, Any]]] = []
        for module in modules:
            monkeypatch.setattr(module, "log_event", self._log)

    def _log(self, event: Event, **fields: Any) -> None:
        self.events.append((event, fields))

    def count(self, event: Event) -> int:
        """Return how often an event was logged."""
        return sum(logged is event for logged, _ in self.events)


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_an_odd_entry_among_the_daemons_costs_only_itself_and_is_logged_once(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    logged = LoggedEvents(monkeypatch, _store)

    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        for vm in ("a-first", "z-last"):
            stand_in.put(KIND, vm, {"record": msgspec.to_builtins(member(vm, started_ms=5))})
        stand_in.put(KIND, ODD, msgspec.Raw(ODD_ENTRIES[name]))
        for _ in range(3):
            assert {record.vm for record in await store.list_members()} >= {"a-first", "z-last"}
        is_sound = name == "nested-beside"  # what else an entry holds isn't read
        found = {record.vm for record in await store.list_members()}
        assert found == ({"a-first", "z-last", ODD} if is_sound else {"a-first", "z-last"})
        assert logged.count(Event.ENTRY_UNREADABLE) == (0 if is_sound else 1)

    with_store(play)


@pytest.mark.parametrize("item", ODD_ITEMS)
def test_an_odd_item_of_a_list_or_a_watch_costs_only_itself(item: bytes) -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        sound = {"record": msgspec.to_builtins(member("vm", started_ms=5))}
        main = {"version": 7, "resources": []}
        for kind, entry in ((KIND, sound), ("config", main)):
            stand_in.put(kind, "vm" if kind == KIND else "main", entry)
        answers = {
            f"GET /-/objects/{KIND}": ("items", stand_in.object_by_key[(KIND, "vm")]),
            "GET /-/objects/config": ("items", stand_in.object_by_key[("config", "main")]),
        }
        for kind in (KIND, "config"):
            key, known = answers[f"GET /-/objects/{kind}"]
            body = {key: [msgspec.Raw(item), known, msgspec.Raw(item)], "at": 12}
            stand_in.malformed_answer = body
            if kind == KIND:
                assert [record.vm for record in await store.list_members()] == ["vm"]
            else:
                read = await store.read_configuration()
                assert read.configuration is not None
                assert read.configuration.version == 7
        events = [msgspec.Raw(item), {"object": known, "deleted": False}, msgspec.Raw(item)]
        stand_in.malformed_answer = {"events": events, "at": 12}
        watched = await store.watch_configuration(after=1, era=None, wait_s=0.1, within_s=2.0)
        assert watched.configuration is not None

    with_store(play)


@pytest.mark.parametrize("calls", [b"-1", b"1e300", b"9" * 400, b"1e999", b'"many"', DEEP])
def test_odd_learned_calls_are_left_out(calls: bytes) -> None:
    async def play(stand_in: StoreStandIn, store: ObjectStore) -> None:
        row = b'["stock","r","stock","r2",' + calls + b"]"
        content = b'{"rows":[' + row + b'],"called":["r2"]}'
        stand_in.put("daisywharf-learned", "calls", msgspec.Raw(content))
        assert await store.read_learned_calls() == LearnedCalls()

    with_store(play)


@pytest.mark.parametrize("name", ["no-port", "nested-100000", "number", "long-port", "other-name"])
def test_daemons_find_each_other_after_a_restart_of_all_beside_an_odd_entry(name: str) -> None:
    """All processes are killed while another writer's entry stands among those of the daemons."""

    async def scenario(net: VirtualNet) -> None:
        fleet = VirtualFleet(net, vms_by_zone={"antwerpen": 2, "gent": 2})
        await fleet.start()
        fleet.store.put(KIND, ODD, msgspec.Raw(ODD_ENTRIES[name]))
        fleet.kill(*fleet.vm_by_name)
        await asyncio.sleep(1.3)
        for vm in fleet.vm_by_name.values():
            fleet.start_daemon(vm)
        await asyncio.sleep(4.0)
        for vm in fleet.vm_by_name.values():
            assert vm.daemon is not None
            links = vm.daemon.membership.link_by_vm
            assert {peer for peer, link in links.items() if link.is_up} == (
                set(fleet.vm_by_name) - {vm.name}
            )
            assert vm.daemon.sync.has_listed

    in_virtual_time(scenario)


def test_an_odd_record_from_a_peer_costs_only_itself_and_is_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged = LoggedEvents(monkeypatch, _membership)

    async def scenario() -> None:
        daemon = daemon_at_rest()
        odd = [
            _record(address="10.0.0.9"),
            _record(address="h" * 70 + ":80"),
            _record(started_ms=2**60),
            _record(target=_target(born_ms=2**60)),
            # Of this VM's earlier process, as it seems.
            _record(vm=daemon.settings.vm, started_ms=2**60),
        ]
        for _ in range(3):
            daemon.peers.merge((*odd, member("sound", started_ms=5)))
        assert set(daemon.membership.record_by_vm) == {"vm-1", "sound"}
        assert daemon.membership.own.started_ms == 2
        assert logged.count(Event.ENTRY_UNREADABLE) == 2
        daemon.close()

    in_loop(scenario)


def test_a_frame_that_fails_costs_only_itself() -> None:
    seen: list[object] = []

    def fail_on_members(_link: FrameProtocol, frame: object) -> None:
        seen.append(frame)
        if isinstance(frame, Members):
            raise RuntimeError("unexpected")

    protocol = FrameProtocol(fail_on_members, lambda _link: None)
    bad, good = encode_frame(Members(())), encode_frame(Ping())
    protocol.data_received(bad + good)
    protocol.data_received(good)
    assert seen == [Members(()), Ping(), Ping()]
    deep = b"\x92\x06" + b"\x91" * 100_000 + b"\xc0"
    protocol.data_received(len(deep).to_bytes(4, "big") + deep)
    assert len(seen) == 3


def test_values_that_can_t_be_decoded_are_left_out_of_a_document() -> None:
    sound = b'"a \\" b","\xc3\xa9",[1,-2.5e3,true,null,{"k":"]"}]'
    odd = b'1e999,NaN,"\xff","\\ud800",' + b"9" * 5_000 + b"," + DEEP
    got = decode_json(b"[" + sound + b" , " + odd + b"]")
    expected: list[Any] = ['a " b', "\u00e9", [1, -2500.0, True, None, {"k": "]"}]]
    assert got[:3] == expected
    assert got[3:8] == [None, None, "", "", None]
    depth = 0
    nested = got[8]
    while isinstance(nested, list) and nested:
        depth, nested = depth + 1, nested[0]
    assert 0 < depth <= MAX_DEPTH
    for malformed in (b"[1e999", b"", b'{"a":1e999,}', b"[1e999]]"):
        with pytest.raises(msgspec.DecodeError):
            decode_json(malformed)
