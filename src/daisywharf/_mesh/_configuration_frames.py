"""Encode the configuration in force for the way between daemons."""

from typing import Final

import msgspec

from daisywharf._configuration import Configuration

_decoder: Final = msgspec.msgpack.Decoder(Configuration)


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a configuration."""
    return msgspec.msgpack.encode(configuration)


def decode_configuration(body: bytes) -> Configuration:
    """Decode a configuration; raise `msgspec.DecodeError` where it can't be read."""
    return _decoder.decode(body)
