"""Upper bounds on input from outside a process."""

from typing import Final

MAX_FRAME_BYTES: Final = 1_048_576
MAX_BODY_BYTES: Final = 1_000_000
MAX_HEADER_VALUE_CHARS: Final = 256
MAX_HOP_CHARS: Final = 4_096
MAX_NAME_CHARS: Final = 128
MAX_ANNOUNCEMENT_BYTES: Final = 4_096
MAX_SETTINGS_BYTES: Final = 262_144
MAX_SLOTS: Final = 100_000
MAX_CONNECTIONS: Final = 1_000_000
MAX_RETRIES: Final = 100
MAX_DEADLINE_MS: Final = 3_600_000
MAX_DEPTH: Final = 64
MAX_REFUSALS: Final = 1_000_000
MAX_CONTRACT_BYTES: Final = 65_536
MAX_CLASSES: Final = 64
MAX_CLASS_SERVICES: Final = 64
MAX_RATE_PER_SECOND: Final = 10_000_000
MAX_BURST: Final = 10_000_000
MAX_VERSION: Final = 2**63 - 1
# The largest integer that JSON readers exchange without loss, also a bound for milliseconds.
MAX_EXACT_INT: Final = 2**53 - 1
MAX_COLD_S: Final = 86_400.0
