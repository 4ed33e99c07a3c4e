"""Encode the configuration for frames between daemons."""

from typing import Final

import msgspec

from daisywharf._configuration import Configuration

_decoder: Final = msgspec.msgpack.Decoder(Configuration)


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a configuration as MessagePack."""
    return msgspec.msgpack.encode(configuration)


def decode_configuration(body: bytes) -> Configuration:
    """Decode a configuration; raise `msgspec.DecodeError` if it is malformed."""
    return _decoder.decode(body)
