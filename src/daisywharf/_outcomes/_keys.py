"""Idempotency keys that a caller can resend: caller-supplied ones, and minted ones.

A minted key has the form `dw1.<expiry in ms>.<incarnation>.<target>.<random>.<checksum>`. With the
fleet's secret, the key alone shows where it may run, so a resend needs no lookup in a store.
"""

import hashlib
import hmac
from random import Random
from typing import Final

import msgspec

from daisywharf._errors import ErrorKind, RequestError
from daisywharf._ids import CustomerId, IdempotencyKey, Incarnation, TargetId
from daisywharf._limits import MAX_HEADER_VALUE_CHARS
from daisywharf._outcomes._ticket import (
    CALLER_KEY_PREFIX,
    KEY_LIFETIME_S,
    KEY_RANDOM_BITS,
    MAX_CLOCK_SKEW_S,
    Ticket,
)

MINTED_KEY_PREFIX: Final = "dw1."
CHECKSUM_BYTES: Final = 16
SCOPED_KEY_BYTES: Final = 16
MIN_SECRET_BYTES: Final = 16
CLAIM_RETENTION_S: Final = 86_400.0
MS_PER_S: Final = 1_000


class KeyBinding(msgspec.Struct, frozen=True):
    """Name the customer and the target incarnation for which a key is minted."""

    customer: CustomerId
    target_id: TargetId
    incarnation: Incarnation


def mint_key(binding: KeyBinding, *, secret: bytes, now: float, rng: Random) -> IdempotencyKey:
    """Mint a key that one incarnation may run until `KEY_LIFETIME_S` after `now`.

    `now` is in seconds since 1970. Raise `RequestError`: bad request if the target id is too long,
    invalid settings if the secret is too short.
    """
    expires_ms = int((now + KEY_LIFETIME_S) * MS_PER_S)
    random_hex = f"{rng.getrandbits(KEY_RANDOM_BITS):032x}"
    stem = f"{MINTED_KEY_PREFIX}{expires_ms}.{binding.incarnation}.{binding.target_id}.{random_hex}"
    key = f"{stem}.{_checksum(stem, binding.customer, secret)}"
    if len(key) > MAX_HEADER_VALUE_CHARS:
        message = f"target id {binding.target_id!r} is too long for a key; shorten it"
        raise RequestError(ErrorKind.BAD_REQUEST, message)
    return IdempotencyKey(key)


def is_minted(key: IdempotencyKey) -> bool:
    """Return whether a key is minted, not caller-supplied."""
    return key.startswith(MINTED_KEY_PREFIX)


def ticket_of_minted_key(key: IdempotencyKey, *, customer: CustomerId, secret: bytes) -> Ticket:
    """Return the ticket of a minted key.

    Raise `RequestError`: bad request if its checksum is wrong, invalid settings if the secret is
    too short.
    """
    stem, _, checksum = key.rpartition(".")
    expected = _checksum(stem, customer, secret)
    if not is_minted(key) or not hmac.compare_digest(checksum.encode(), expected.encode()):
        message = f"key {key[:80]!r} was not minted for customer {customer!r}; ask for a new one"
        raise RequestError(ErrorKind.BAD_REQUEST, message)
    _, expires_ms, incarnation, rest = stem.split(".", 3)
    target_id, _, _ = rest.rpartition(".")
    return Ticket(
        scoped_key(customer, key),
        TargetId(target_id),
        Incarnation(int(incarnation)),
        int(expires_ms) / MS_PER_S,
    )


def scoped_key(customer: CustomerId, key: IdempotencyKey) -> IdempotencyKey:
    """Return the key under which gates and claims store it; no two customers share one."""
    text = f"{len(customer)}:{customer}{key}"
    digest = hashlib.blake2b(text.encode(), digest_size=SCOPED_KEY_BYTES).hexdigest()
    return IdempotencyKey(CALLER_KEY_PREFIX + digest)


def is_key_too_old(*, created_at: float, now: float) -> bool:
    """Return whether the claim of a key created at `created_at` may have been deleted already.

    Both times are in seconds since 1970. The bound allows for the clocks of three processes, and
    for an entry that is paused after this check: it can use the claim until its ticket expires.
    """
    return now - created_at > CLAIM_RETENTION_S - KEY_LIFETIME_S - 3 * MAX_CLOCK_SKEW_S


def _checksum(stem: str, customer: CustomerId, secret: bytes) -> str:
    if len(secret) < MIN_SECRET_BYTES:
        message = f"the fleet's secret has {len(secret)} bytes; give at least {MIN_SECRET_BYTES}"
        raise RequestError(ErrorKind.INVALID_SETTINGS, message)
    text = f"{len(customer)}:{customer}{stem}".encode()
    return hashlib.blake2b(text, key=secret[:64], digest_size=CHECKSUM_BYTES).hexdigest()
