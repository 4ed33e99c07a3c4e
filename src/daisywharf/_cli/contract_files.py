"""Load the contract files given to a command."""

from collections.abc import Iterable
from pathlib import Path

import msgspec

from daisywharf._contract import Contract
from daisywharf._contracts import load_contract_file
from daisywharf._documents._faults import DocumentError, Fault
from daisywharf._errors import ErrorKind
from daisywharf._ids import CustomerId


class ContractFile(msgspec.Struct, frozen=True):
    """Hold a contract and the path of its file."""

    path: Path
    contract: Contract


def load_contract_files(paths: Iterable[Path]) -> list[ContractFile]:
    """Read files and the `*.yaml` in directories; raise `DocumentError` with all faults."""
    files: list[ContractFile] = []
    faults: list[Fault] = []
    for path in _expand_directories(paths):
        try:
            files.append(ContractFile(path, load_contract_file(path)))
        except DocumentError as error:
            faults.extend(error.faults)
    faults.extend(_duplicate_customer_faults(files))
    if faults:
        raise DocumentError(ErrorKind.INVALID_CONTRACT, faults)
    return files


def _expand_directories(paths: Iterable[Path]) -> Iterable[Path]:
    for path in paths:
        if path.is_dir():
            yield from sorted(path.glob("*.yaml"))
        else:
            yield path


def _duplicate_customer_faults(files: Iterable[ContractFile]) -> Iterable[Fault]:
    path_by_customer: dict[CustomerId, Path] = {}
    for file in files:
        customer = file.contract.customer
        if customer in path_by_customer:
            remedy = f"{path_by_customer[customer]} also has this customer; remove one of them"
            yield Fault(str(file.path), 0, "customer", repr(customer), remedy)
        path_by_customer.setdefault(customer, file.path)
