"""The storage incarnation's file content (pure).

One line of text: a prefix with the format's version, the number, and a CRC-32C of both in
hexadecimal digits. `store` writes it last when a folder is first used.
"""

from result import Err, Ok, Result

from merlinstand.storage.checksum import crc32c
from merlinstand.storage.errors import IncompleteFolderError, StorageError

_PREFIX = "merlinstand-incarnation 1"


def encode_incarnation(incarnation: int) -> bytes:
    """Encode the file: one line with a checksum."""
    text = f"{_PREFIX} {incarnation}"
    return f"{text} {crc32c(text.encode()):08x}\n".encode()


def decode_incarnation(data: bytes) -> Result[int, StorageError]:
    """Decode the file."""
    parts = data.decode(errors="replace").split()
    if len(parts) != 4 or not parts[2].isdigit() or encode_incarnation(int(parts[2])) != data:
        return Err(IncompleteFolderError(detail="the incarnation file is damaged"))
    return Ok(int(parts[2]))
