"""The asyncio client of the platform's metadata store."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any, Final
from urllib.parse import quote, urlencode

import msgspec

from daisywharf._configuration import Configuration
from daisywharf._errors import ErrorKind, PlatformError
from daisywharf._limits import MAX_EXACT_INT
from daisywharf._mesh._headers import HeaderPair
from daisywharf._mesh._http_answers import HttpAnswer, HttpFailure
from daisywharf._mesh._http_client import HttpPool
from daisywharf._mesh._learned import LearnedCalls, check_learned_calls
from daisywharf._mesh._model import MemberRecord, check_member, is_newer
from daisywharf._mesh._store import ConfigurationRead
from daisywharf._mesh._store_era import EraChange, EraState, observe_era, parse_era
from daisywharf._signals._events import Event
from daisywharf._signals._log import log_event
from daisywharf._topology import Address
from daisywharf.platform._configuration import read_configuration
from daisywharf.platform._json import UNREADABLE, decode_json

CONFIGURATION_KIND: Final = "config"
CONFIGURATION_NAME: Final = "main"
MEMBER_KIND: Final = "daisywharf-daemons"
LEARNED_KIND: Final = "daisywharf-learned"
LEARNED_NAME: Final = "calls"
ERA_HEADER: Final = b"store-era"
# Many times the store's usual answer time (4 ms); beyond it, another attempt does better.
TIMEOUT_S: Final = 1.5
MS_PER_S: Final = 1000.0
MAX_PAGES: Final = 100
MAX_UNUSABLE_NAMES: Final = 256
MAX_LOGGED_CHARS: Final = 200
# A daemon continues with a start after that of an earlier record on its VM. Starts up to this bound
# leave room for that below the bound of records from other daemons.
MAX_STORED_START_MS: Final = MAX_EXACT_INT - 1_000_000
# Raised for an entry with a missing field, a value of another type, or one that is out of range.
UNUSABLE: Final = (KeyError, TypeError, ValueError, AttributeError, OverflowError)

# 503 means that nothing was done, 429 that the rate limit is exhausted.
KINDS_BY_STATUS: Final[dict[int, ErrorKind]] = {
    404: ErrorKind.PLATFORM_GONE,
    409: ErrorKind.PLATFORM_CONFLICT,
    410: ErrorKind.PLATFORM_GONE,
    429: ErrorKind.PLATFORM_UNAVAILABLE,
    503: ErrorKind.PLATFORM_UNAVAILABLE,
}


class _StoredRevision(msgspec.Struct, frozen=True):
    """Hold the revision of this daemon's stored record, and the store's era that assigned it."""

    revision: int
    era: int | None


class ObjectStore:
    """Call the store, with one call at a time on each connection; `calls` counts them."""

    def __init__(self, address: Address, *, now: Callable[[], float]) -> None:
        self._host = str(address)
        self._pool = HttpPool(address, now=now, max_idle=4)
        self.era_state = EraState()
        self.on_new_era: Callable[[int | None], None] = lambda _earlier: None
        self._own_revision: _StoredRevision | None = None
        # Names of entries that were logged as unusable.
        self._unusable_names: set[str] = set()
        self.calls = 0

    async def read_configuration(self) -> ConfigurationRead:
        """Read the latest configuration.

        It lists the kind, as only a listing has the store's present revision: the object's own may
        be older than the history that the store keeps for watches.
        """
        listing = await self._call("GET", f"/{CONFIGURATION_KIND}")
        with _unreadable_as_error():
            latest = _latest_configuration(listing["items"])
            return ConfigurationRead(latest, int(listing["at"]), self.era_state.era)

    async def watch_configuration(
        self, *, after: int, era: int | None, wait_s: float, within_s: float
    ) -> ConfigurationRead:
        """Wait `wait_s` for a configuration newer than a revision; return none if the wait ends.

        After a rollback the store may have assigned the revision again. A watch from it would then
        leave out what was written before.
        """
        if era != self.era_state.era:
            raise self._outdated_watch(after, era)
        query = urlencode({"watch": after, "waitMs": int(wait_s * MS_PER_S)})
        found = await self._call("GET", f"/{CONFIGURATION_KIND}?{query}", timeout_s=within_s)
        if era != self.era_state.era:
            raise self._outdated_watch(after, era)
        with _unreadable_as_error():
            written = [
                event.get("object")
                for event in found["events"]
                if isinstance(event, dict) and not event.get("deleted")
            ]
            return ConfigurationRead(_latest_configuration(written), int(found["at"]), era)

    def _outdated_watch(self, after: int, era: int | None) -> PlatformError:
        return PlatformError(
            ErrorKind.PLATFORM_GONE,
            f"revision {after} is of store era {era}, the present one is {self.era_state.era}; "
            "list the configuration again",
        )

    async def write_member(self, record: MemberRecord) -> MemberRecord | None:
        """Write a daemon's own record, if the stored one is as this daemon last wrote it.

        A write whose answer was lost may take effect much later; the condition then prevents it.
        If another record is stored, returns that and writes nothing; the next call replaces it. It
        is an earlier process's, or this daemon's from a write whose answer was lost. After a
        rollback of the store, an older record from its copy is replaced at once.
        """
        if self._own_revision is not None and self._own_revision.era != self.era_state.era:
            newer = await self._read_after_rollback(record)
            if newer is not None:
                return newer
        try:
            written = await self._put_member(record)
        except PlatformError as error:
            if error.kind is ErrorKind.PLATFORM_CONFLICT:
                earlier = await self._read_own_record(record)
                if earlier is not None:
                    return earlier
            elif error.kind is ErrorKind.PLATFORM_GONE:
                self._own_revision = None
            else:
                raise
            written = await self._put_member(record)
        self._record_own_revision(written)
        return None

    async def is_member_stored(self, record: MemberRecord) -> bool:
        """Read a daemon's own record; return whether it is stored as given."""
        try:
            return await self._read_own_record(record) == record
        except PlatformError as error:
            if error.kind is not ErrorKind.PLATFORM_GONE:
                raise
        return False

    async def _read_after_rollback(self, record: MemberRecord) -> MemberRecord | None:
        """Read the revision to replace in the present era; return the stored record if newer."""
        try:
            stored = await self._read_own_record(record)
        except PlatformError as error:
            if error.kind is not ErrorKind.PLATFORM_GONE:
                raise
            self._own_revision = None
            return None
        return stored if stored is not None and is_newer(stored, record) else None

    def _record_own_revision(self, entry: Any) -> None:
        with _unreadable_as_error():
            revision = int(entry["metadata"]["revision"])
            self._own_revision = _StoredRevision(revision, self.era_state.era)

    async def _read_own_record(self, record: MemberRecord) -> MemberRecord | None:
        """Return the record stored under this VM's name, and store its revision for the next write.

        Returns None if it can't be read.
        """
        found = await self._call("GET", _member_path(record))
        self._record_own_revision(found)
        return self._decode_member(found)

    async def _put_member(self, record: MemberRecord) -> Any:
        """Create the record, or replace it if its revision is known and still the same."""
        metadata: dict[str, Any] = {"name": record.vm}
        content = {"record": msgspec.to_builtins(record)}
        if self._own_revision is None:
            body = {"metadata": metadata, "specification": content}
            return await self._call("POST", f"/{MEMBER_KIND}", body)
        metadata["revision"] = self._own_revision.revision
        body = {"metadata": metadata, "specification": content}
        return await self._call("PUT", _member_path(record), body)

    async def read_learned_calls(self) -> LearnedCalls:
        """Read the calls that the fleet has learned; empty if there is nothing readable."""
        try:
            # A stale read may be seconds old but costs a tenth. It is good enough, as reports
            # correct it.
            found = await self._call("GET", f"/{LEARNED_KIND}/{LEARNED_NAME}?staleRead=1")
            learned = msgspec.convert(found["specification"], LearnedCalls)
            check_learned_calls(learned)
            return learned
        except PlatformError as error:
            if error.kind is not ErrorKind.PLATFORM_GONE:
                raise
        except UNUSABLE as error:
            self._log_unusable(LEARNED_NAME, error)
        return LearnedCalls()

    async def write_learned_calls(self, learned: LearnedCalls) -> None:
        """Write the calls that the fleet has learned; the last write wins."""
        metadata = {"name": LEARNED_NAME}
        body = {"metadata": metadata, "specification": msgspec.to_builtins(learned)}
        try:
            await self._call("PUT", f"/{LEARNED_KIND}/{LEARNED_NAME}", body)
        except PlatformError as error:
            if error.kind is not ErrorKind.PLATFORM_GONE:
                raise
            await self._call("POST", f"/{LEARNED_KIND}", body)

    async def list_members(self) -> list[MemberRecord]:
        """Read the records of all daemons; one that can't be read is skipped and logged.

        Pages of two eras of the store don't belong together: the list restarts.
        """
        records: list[MemberRecord] = []
        after, era = "", self.era_state.era
        for _ in range(MAX_PAGES):
            query = "?" + urlencode({"after": after}) if after else ""
            page = await self._call("GET", f"/{MEMBER_KIND}{query}")
            if self.era_state.era != era:
                era = self.era_state.era
                if after:
                    records, after = [], ""
                    continue
            with _unreadable_as_error():
                entries = page["items"]
                found = [self._decode_member(entry) for entry in entries]
                records.extend(record for record in found if record is not None)
                names = [name for entry in entries if (name := _name_of(entry))]
                if not page.get("hasMore") or not names:
                    break
                after = names[-1]
        return records

    def _decode_member(self, entry: Any) -> MemberRecord | None:
        """Return the record of an entry, or None if it isn't usable, which is logged once."""
        name = _name_of(entry)
        try:
            record = msgspec.convert(entry["specification"]["record"], MemberRecord)
            check_member(record)
            if record.started_ms > MAX_STORED_START_MS:
                raise ValueError(f"started_ms is out of range; use 0 to {MAX_STORED_START_MS}")
            if record.vm != name:
                raise ValueError(f"it names the VM {record.vm!r}")
        except UNUSABLE as error:
            self._log_unusable(name, error)
            return None
        return record

    def _log_unusable(self, name: str, error: Exception) -> None:
        if name in self._unusable_names:
            return
        if len(self._unusable_names) < MAX_UNUSABLE_NAMES:
            self._unusable_names.add(name)
        log_event(Event.ENTRY_UNREADABLE, entry=name, error=repr(error)[:MAX_LOGGED_CHARS])

    async def _call(
        self, method: str, path: str, content: Any = None, *, timeout_s: float = TIMEOUT_S
    ) -> Any:
        body = b"" if content is None else msgspec.json.encode(content)
        head = f"{method} /-/objects{path} HTTP/1.1\r\nHost: {self._host}\r\n"
        if body:
            head += "Content-Type: application/json\r\n"
        if body or method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        self.calls += 1
        sent_in_era, had_responses = self.era_state.era, self.era_state.has_responses
        result = await self._pool.fetch(head.encode() + b"\r\n" + body, within_s=timeout_s)
        if result is None:
            raise _call_error(method, f"no answer in {timeout_s} s")
        if isinstance(result, HttpFailure):
            raise _call_error(method, result.detail)
        self._observe_era(method, result.headers)
        if method != "GET" and had_responses and self.era_state.era != sent_in_era:
            # It may have been executed before the rollback, or because of a revision that was
            # assigned again.
            raise _call_error(method, "the store was rolled back during the call")
        return _decode_content(method, path, result)

    def _observe_era(self, method: str, headers: Iterable[HeaderPair]) -> None:
        """Record a response's era; raise `PlatformError` for a response of an older one."""
        present, era = self.era_state.era, _era_of(headers)
        change = observe_era(self.era_state, era)
        if change is EraChange.OLDER:
            log_event(Event.STORE_RESPONSE_DROPPED, era=era or 0, present=present or 0)
            raise _call_error(method, f"response of store era {era}, the present one is {present}")
        if change is EraChange.NEW:
            self.on_new_era(present)


def _era_of(headers: Iterable[HeaderPair]) -> int | None:
    """Return the store's era that a response names, or None."""
    for name, value in headers:
        if name.lower() == ERA_HEADER:
            return parse_era(value)
    return None


@contextmanager
def _unreadable_as_error() -> Iterator[None]:
    """Raise `PlatformError` for an answer that lacks a field or has one of the wrong type."""
    try:
        yield
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
        raise _call_error("GET", f"unreadable answer: {error!r}") from error


def _latest_configuration(entries: list[Any]) -> Configuration | None:
    latest = None
    for entry in entries:
        if _name_of(entry) == CONFIGURATION_NAME:
            latest = read_configuration(entry["specification"])
    return latest


def _name_of(entry: Any) -> str:
    """Return the name of an entry, or "" if it has none."""
    metadata = entry.get("metadata") if isinstance(entry, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    return name if isinstance(name, str) else ""


def _member_path(record: MemberRecord) -> str:
    return f"/{MEMBER_KIND}/{quote(record.vm, safe='')}"


def _call_error(method: str, detail: str) -> PlatformError:
    """Return the error of a call without a usable answer; only a GET surely changed nothing."""
    kind = ErrorKind.PLATFORM_UNAVAILABLE if method == "GET" else ErrorKind.PLATFORM_OUTCOME_UNKNOWN
    return PlatformError(kind, f"{method} request to the store: {detail}")


def _decode_content(method: str, path: str, answer: HttpAnswer) -> Any:
    if answer.status >= 300:
        kind = KINDS_BY_STATUS.get(answer.status, ErrorKind.PLATFORM_OUTCOME_UNKNOWN)
        raise PlatformError(kind, f"{method} {path} at the store returned status {answer.status}")
    try:
        return decode_json(answer.body) if answer.body else {}
    except UNREADABLE as error:
        raise _call_error(method, f"unreadable answer: {error}") from error
