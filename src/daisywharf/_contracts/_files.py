"""Parse contract files, and encode and decode contracts as the platform stores them."""

from pathlib import Path

import msgspec

from daisywharf._contract import Contract
from daisywharf._contracts._schema import (
    Edit,
    StoredContract,
    WrittenContract,
    contract_of,
    duplicate_names,
    written_classes,
)
from daisywharf._documents._reader import read_document, read_file
from daisywharf._errors import ConfigurationError, ErrorKind
from daisywharf._ids import Version
from daisywharf._limits import MAX_CONTRACT_BYTES

NO_EDIT = Edit()


def load_contract_file(path: Path) -> Contract:
    """Parse a contract file; raise `DocumentError` (invalid contract) with all faults found.

    The contract's version is the one that the file names as its base, or 0.
    """
    written = read_file(
        path,
        WrittenContract,
        kind=ErrorKind.INVALID_CONTRACT,
        max_bytes=MAX_CONTRACT_BYTES,
        check=duplicate_names,
    )
    return contract_of(written, Version(written.version or 0))


def load_contract(content: bytes, *, file_name: str) -> Contract:
    """Parse a contract in YAML; raise `DocumentError` (invalid contract) with all faults found."""
    written = read_document(
        content,
        WrittenContract,
        file_name=file_name,
        kind=ErrorKind.INVALID_CONTRACT,
        max_bytes=MAX_CONTRACT_BYTES,
        check=duplicate_names,
    )
    return contract_of(written, Version(written.version or 0))


def contract_to_json(contract: Contract, *, edit: Edit = NO_EDIT) -> bytes:
    """Encode a contract for the platform, without its version, which the platform assigns."""
    stored = StoredContract(contract.customer, written_classes(contract), edit)
    return msgspec.json.encode(stored)


def contract_from_json(content: bytes, version: Version) -> Contract:
    """Decode a stored contract; raise `ConfigurationError` (invalid contract)."""
    return contract_of(stored_from_json(content), version)


def stored_from_json(content: bytes) -> StoredContract:
    """Decode a stored contract and its edit; raise `ConfigurationError` (invalid contract)."""
    if len(content) > MAX_CONTRACT_BYTES:
        message = f"contract has {len(content)} bytes; at most {MAX_CONTRACT_BYTES} are allowed"
        raise ConfigurationError(ErrorKind.INVALID_CONTRACT, message)
    try:
        stored = msgspec.json.decode(content, type=StoredContract)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        message = f"stored contract is malformed: {error}; apply it again from its file"
        raise ConfigurationError(ErrorKind.INVALID_CONTRACT, message) from error
    for problem in duplicate_names(msgspec.to_builtins(stored)):
        message = f"stored contract names {problem.value!r} twice; {problem.mend}"
        raise ConfigurationError(ErrorKind.INVALID_CONTRACT, message)
    return stored
