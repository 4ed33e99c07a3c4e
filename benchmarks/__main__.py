"""Run one benchmark by name."""

import importlib
import re
import sys
from pathlib import Path

NAME_PATTERN = re.compile(r"[a-z_]*[a-z]")


def _known_names() -> list[str]:
    paths = Path(__file__).parent.glob("*.py")
    return sorted(path.stem for path in paths if not path.stem.startswith("_"))


def main(arguments: list[str]) -> int:
    """Run the named benchmark's `main` and return its exit code, or 2 for an unknown name."""
    name = arguments[0] if arguments else ""
    if not NAME_PATTERN.fullmatch(name) or name not in _known_names():
        print(
            f"unknown benchmark {name!r}; choose from: {', '.join(_known_names())}", file=sys.stderr
        )
        return 2
    module = importlib.import_module(f"benchmarks.{name}")
    return int(module.main(arguments[1:]))


sys.exit(main(sys.argv[1:]))
