"""Performs `WriteRecord`: appends records to JSON Lines files.

Only processes of the laboratory write records; daemons of a deployment have no `record_folder`.
"""

import os
from typing import Any

import msgspec

_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND
_MODE = 0o644
"""Mode of a new file: readable by everyone, writable by its owner."""


class RecordWriter:
    """Appends lines to `FOLDER/STREAM.jsonl`.

    Each line is passed to the kernel in one write, so a killed process loses none.
    """

    def __init__(self, folder: str) -> None:
        """Create the folder if it does not exist."""
        self._folder = folder
        os.makedirs(folder, exist_ok=True)
        self._descriptors: dict[str, int] = {}

    def write(self, stream: str, record: Any) -> None:
        """Append one record.

        Args:
            stream: File name without suffix.
            record: A msgspec Struct.
        """
        descriptor = self._descriptors.get(stream)
        if descriptor is None:
            descriptor = os.open(os.path.join(self._folder, f"{stream}.jsonl"), _FLAGS, _MODE)
            self._descriptors[stream] = descriptor
        os.write(descriptor, msgspec.json.encode(record) + b"\n")

    def close(self) -> None:
        """Close all files."""
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors.clear()
