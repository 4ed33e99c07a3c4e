"""Parse, check and write contracts."""

from daisywharf._contracts._files import (
    contract_from_json,
    contract_to_json,
    load_contract,
    load_contract_file,
)

__all__ = ["contract_from_json", "contract_to_json", "load_contract", "load_contract_file"]
