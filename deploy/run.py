"""Start the daemon from a checkout of the repository."""

import runpy
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))
runpy.run_module("daisywharf.platform", run_name="__main__")
