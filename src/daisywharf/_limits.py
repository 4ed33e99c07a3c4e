"""Limits on the sizes of what arrives from outside a process."""

from typing import Final

MAX_FRAME_BYTES: Final = 1_048_576
MAX_BODY_BYTES: Final = 1_000_000
MAX_HEADER_VALUE_CHARS: Final = 256
MAX_NAME_CHARS: Final = 128
MAX_ANNOUNCEMENT_BYTES: Final = 4_096
MAX_SETTINGS_BYTES: Final = 262_144
MAX_SLOTS: Final = 100_000
MAX_CONNECTIONS: Final = 1_000_000
MAX_RETRIES: Final = 100
MAX_DEADLINE_MS: Final = 3_600_000
MAX_DEPTH: Final = 64
