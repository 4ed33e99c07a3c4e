"""Versioned records with digests, and the rumours (changed records) still to be gossiped."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Final

import msgspec

from daisywharf._codec import encode
from daisywharf._fleet._messages import DemandRecord, MemberRecord, Record, ZoneDemand

BUCKET_COUNT: Final = 64
DIGEST_BYTES: Final = 4
RUMOUR_BACKLOG_THRESHOLD: Final = 20
MAX_BACKLOG_COPIES: Final = 3


class Rumour(msgspec.Struct):
    """Hold a changed record and how many times it is still to be sent."""

    record: Record
    copies_left: int
    _size_bytes: int = 0

    @property
    def size_bytes(self) -> int:
        """Return the encoded size of the record."""
        if not self._size_bytes:
            self._size_bytes = len(encode(self.record))
        return self._size_bytes


class RecordHash(msgspec.Struct, frozen=True):
    """Hold a record's bucket, and the digest that it contributes to that bucket."""

    bucket: int
    digest: int


class Store:
    """Hold the newest record of each key, digests over the records, and the rumours.

    `view_version` increases with each change that matters to calls. Demand doesn't count: it
    changes all the time, and reaches calls only through the shares.
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
    """Return whether a record is newer than the stored one, or the first of its key."""
    stored = store.record_by_key.get(record.key)
    return stored is None or record.order > stored.order


def put(store: Store, record: Record, *, copies: int) -> None:
    """Store a record in place of an older one, to be gossiped `copies` times."""
    key = record.key
    _remove_hash(store, key)
    store.record_by_key[key] = record
    if not isinstance(record, DemandRecord | ZoneDemand):
        store.view_version += 1
    # Ended daemons stay out of the digests: peers that never knew one don't store its record.
    if not (isinstance(record, MemberRecord) and record.is_terminal):
        _add_hash(store, key, record)
    if copies > 0:
        store.rumour_by_key[key] = Rumour(record, _copies(store, copies))
    else:
        store.rumour_by_key.pop(key, None)


def _copies(store: Store, copies: int) -> int:
    """Return the copies to send: fewer during a backlog, as repair resends what is lost."""
    if len(store.rumour_by_key) > RUMOUR_BACKLOG_THRESHOLD:
        return min(copies, MAX_BACKLOG_COPIES)
    return copies


def drop(store: Store, key: str) -> None:
    """Remove a record."""
    _remove_hash(store, key)
    if store.record_by_key.pop(key, None) is not None:
        store.view_version += 1
    store.rumour_by_key.pop(key, None)


def record_duplicate(store: Store, record: Record) -> None:
    """Send a record one time less, as a peer turned out to have it already."""
    rumour = store.rumour_by_key.get(record.key)
    if rumour is not None and rumour.record.order == record.order:
        rumour.copies_left -= 1
        if rumour.copies_left <= 0:
            del store.rumour_by_key[record.key]


def differing_buckets(store: Store, bucket_digests: Iterable[int]) -> list[int]:
    """Return the numbers of the buckets whose digests differ from the given ones."""
    pairs = zip(store.digest_by_bucket, bucket_digests, strict=False)
    return [number for number, (own, other) in enumerate(pairs) if own != other]


def records_in(store: Store, buckets: Iterable[int], *, limit_bytes: int) -> list[Record]:
    """Return records of the buckets up to an encoded size, but at least one."""
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
    record_hash = store.hash_by_key.pop(key, None)
    if record_hash is None:
        return
    del store.keys_by_bucket[record_hash.bucket][key]
    store.digest_by_bucket[record_hash.bucket] ^= record_hash.digest
    store.digest ^= record_hash.digest
