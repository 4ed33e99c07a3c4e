"""Only a process that has a key of the fleet can use its links."""

import pytest

from daisywharf import ErrorKind, LinkError
from daisywharf._daemon._frames import Challenge, Hello
from daisywharf._daemon._handshake import accept_hello, answer_challenge, check_welcome
from daisywharf._fleet._messages import Member
from daisywharf._ids import Incarnation, VmId, ZoneName
from daisywharf._topology import Address

CHALLENGE = Challenge(b"first-nonce-0001")
NONCE = b"second-nonce-001"
MEMBER = Member(VmId("vm-1"), ZoneName("perth-1"), Incarnation(1), Address("127.0.0.1", 1))


def hello_with(key: str) -> Hello:
    """Answer the challenge as a daemon with a key."""
    return answer_challenge(CHALLENGE, key=key, nonce=NONCE, member=MEMBER)


def test_both_ends_prove_the_key() -> None:
    hello = hello_with("fleet-key")
    welcome = accept_hello(CHALLENGE, hello, keys=["fleet-key"])
    check_welcome(CHALLENGE, hello, welcome, key="fleet-key")


@pytest.mark.parametrize("key", ["", "another", "fleet-key "])
def test_a_peer_without_the_key_is_untrusted(key: str) -> None:
    with pytest.raises(LinkError, match="vm-1") as caught:
        accept_hello(CHALLENGE, hello_with(key), keys=["fleet-key"])
    assert caught.value.kind is ErrorKind.UNTRUSTED_PEER


def test_a_proof_can_t_be_used_for_another_vm_or_another_link() -> None:
    hello = hello_with("fleet-key")
    stolen = Hello(hello.nonce, hello.proof, None)
    with pytest.raises(LinkError):
        accept_hello(CHALLENGE, stolen, keys=["fleet-key"])
    with pytest.raises(LinkError):
        accept_hello(Challenge(b"other-nonce-0001"), hello, keys=["fleet-key"])


def test_an_accepting_side_without_the_key_is_untrusted() -> None:
    hello = hello_with("fleet-key")
    welcome = accept_hello(CHALLENGE, hello_with("another"), keys=["another"])
    with pytest.raises(LinkError):
        check_welcome(CHALLENGE, hello, welcome, key="fleet-key")


def test_a_key_is_changed_without_an_outage() -> None:
    """Keys rotate in three steps: accept both, prove the new one, drop the old one.

    Daemons that are one step apart must accept each other.
    """
    accepted_by_step = (["old", "new"], ["new", "old"], ["new"])
    proved_by_step = ("old", "new", "new")
    for step, accepted in enumerate(accepted_by_step):
        for neighbour in (step - 1, step, step + 1):
            if 0 <= neighbour < len(proved_by_step):
                accept_hello(CHALLENGE, hello_with(proved_by_step[neighbour]), keys=accepted)
