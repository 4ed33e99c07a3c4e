"""Versioned records with digests, and those of them that are still to be spread."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Final

import msgspec

from daisywharf._codec import encode
from daisywharf._fleet._messages import DemandRecord, MemberRecord, Record, ZoneDemand

BUCKET_COUNT: Final = 64
DIGEST_BYTES: Final = 4
RUMOUR_BACKLOG: Final = 20
MAX_BACKLOG_COPIES: Final = 3


class Rumour(msgspec.Struct):
    """Hold a changed record and how often it is still to be sent."""

    record: Record
    copies_left: int
    _size_bytes: int = 0

    @property
    def size_bytes(self) -> int:
        """Return the size of the record as it is sent."""
        if not self._size_bytes:
            self._size_bytes = len(encode(self.record))
        return self._size_bytes


class RecordHash(msgspec.Struct, frozen=True):
    """Place a record in a bucket and give its part of that bucket's digest."""

    bucket: int
    digest: int


class Store:
    """Hold the newest record of each key, digests over them, and the changed ones.

    `view_version` grows with each change that callers may see: demand, which changes all the time,
    reaches them as shares.
    """

    def __init__(self) -> None:
        self.record_by_key: dict[str, Record] = {}
        self.hash_by_key: dict[str, RecordHash] = {}
        self.keys_by_bucket: list[dict[str, None]] = [{} for _ in range(BUCKET_COUNT)]
        self.digest_by_bucket = [0] * BUCKET_COUNT
        self.digest = 0
        self.rumour_by_key: dict[str, Rumour] = {}
        self.view_version = 0


def is_newer(store: Store, record: Record) -> bool:
    """Tell whether a record would replace the one that is held."""
    stored = store.record_by_key.get(record.key)
    return stored is None or record.order > stored.order


def put(store: Store, record: Record, *, copies: int) -> None:
    """Hold a record in place of an older one and spread it `copies` times."""
    key = record.key
    _remove_hash(store, key)
    store.record_by_key[key] = record
    if not isinstance(record, DemandRecord | ZoneDemand):
        store.view_version += 1
    if not (isinstance(record, MemberRecord) and record.is_terminal):
        _add_hash(store, key, record)
    if copies > 0:
        store.rumour_by_key[key] = Rumour(record, _copies(store, copies))
    else:
        store.rumour_by_key.pop(key, None)


def _copies(store: Store, copies: int) -> int:
    """Send fewer copies while many records wait; repair finds what was lost."""
    if len(store.rumour_by_key) > RUMOUR_BACKLOG:
        return min(copies, MAX_BACKLOG_COPIES)
    return copies


def drop(store: Store, key: str) -> None:
    """Forget a record."""
    _remove_hash(store, key)
    if store.record_by_key.pop(key, None) is not None:
        store.view_version += 1
    store.rumour_by_key.pop(key, None)


def record_duplicate(store: Store, record: Record) -> None:
    """Spread a record once less: a peer knows it already."""
    rumour = store.rumour_by_key.get(record.key)
    if rumour is not None and rumour.record.order == record.order:
        rumour.copies_left -= 1
        if rumour.copies_left <= 0:
            del store.rumour_by_key[record.key]


def differing_buckets(store: Store, bucket_digests: Iterable[int]) -> list[int]:
    """Return the numbers of the buckets whose digests aren't the given ones."""
    pairs = zip(store.digest_by_bucket, bucket_digests, strict=False)
    return [number for number, (own, other) in enumerate(pairs) if own != other]


def records_in(store: Store, buckets: Iterable[int], *, limit_bytes: int) -> list[Record]:
    """Return the records of some buckets, up to a size."""
    records: list[Record] = []
    used_bytes = 0
    for bucket in buckets:
        for key in store.keys_by_bucket[bucket]:
            record = store.record_by_key[key]
            used_bytes += len(encode(record))
            if used_bytes > limit_bytes and records:
                return records
            records.append(record)
    return records


def _add_hash(store: Store, key: str, record: Record) -> None:
    bucket = blake2b(key.encode(), digest_size=1).digest()[0] % BUCKET_COUNT
    content = f"{key} {record.order}".encode()
    digest = int.from_bytes(blake2b(content, digest_size=DIGEST_BYTES).digest(), "big")
    store.hash_by_key[key] = RecordHash(bucket, digest)
    store.keys_by_bucket[bucket][key] = None
    store.digest_by_bucket[bucket] ^= digest
    store.digest ^= digest


def _remove_hash(store: Store, key: str) -> None:
    hashed = store.hash_by_key.pop(key, None)
    if hashed is None:
        return
    del store.keys_by_bucket[hashed.bucket][key]
    store.digest_by_bucket[hashed.bucket] ^= hashed.digest
    store.digest ^= hashed.digest
