"""Challenge-response authentication of a new link by a shared key, which is never sent."""

import hmac
from collections.abc import Sequence
from typing import Final

from daisywharf._daemon._frames import Challenge, Hello, Welcome
from daisywharf._errors import ErrorKind, LinkError
from daisywharf._fleet._messages import Member

NONCE_BYTES: Final = 16
_EMPTY_KEY: Final = ""


def answer_challenge(
    challenge: Challenge, *, key: str, nonce: bytes, member: Member | None
) -> Hello:
    """Return the proof of a key for the accepting side, with a nonce that challenges it in turn."""
    return Hello(nonce, _proof(key, b"hello", challenge.nonce, nonce, member), member)


def accept_hello(challenge: Challenge, hello: Hello, *, keys: Sequence[str]) -> Welcome:
    """Check a proof against each accepted key and return the accepting side's own proof.

    Raise `LinkError` (untrusted peer) if no key matches.
    """
    for key in keys or (_EMPTY_KEY,):
        expected = _proof(key, b"hello", challenge.nonce, hello.nonce, hello.member)
        if hmac.compare_digest(expected, hello.proof):
            return Welcome(_proof(key, b"welcome", challenge.nonce, hello.nonce, None))
    name = "a library" if hello.member is None else hello.member.vm
    message = f"{name} proved none of the {len(keys)} keys; configure a common key on both ends"
    raise LinkError(ErrorKind.UNTRUSTED_PEER, message)


def check_welcome(challenge: Challenge, hello: Hello, welcome: Welcome, *, key: str) -> None:
    """Check the accepting side's proof; raise `LinkError` (untrusted peer)."""
    expected = _proof(key, b"welcome", challenge.nonce, hello.nonce, None)
    if not hmac.compare_digest(expected, welcome.proof):
        message = "the accepting side did not prove the key; configure a common key on both ends"
        raise LinkError(ErrorKind.UNTRUSTED_PEER, message)


def first_key(keys: Sequence[str]) -> str:
    """Return the key that this process proves: the first in its settings, or an empty one."""
    return keys[0] if keys else _EMPTY_KEY


def _proof(
    key: str, role: bytes, accepting_nonce: bytes, opening_nonce: bytes, member: Member | None
) -> bytes:
    encoded_member = (
        b"" if member is None else f"{member.vm}|{member.zone}|{member.address}".encode()
    )
    message = b"|".join(
        (role, accepting_nonce.hex().encode(), opening_nonce.hex().encode(), encoded_member)
    )
    return hmac.digest(key.encode(), message, "sha256")
