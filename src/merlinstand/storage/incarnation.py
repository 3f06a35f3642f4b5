"""Format of the file that holds the storage incarnation (pure).

One line of text: a prefix with the format version, the incarnation, and the CRC-32C of both in
hexadecimal. `store` writes it last when it initializes a folder.
"""

from result import Err, Ok, Result

from merlinstand.storage.checksum import crc32c
from merlinstand.storage.errors import IncompleteFolderError, StorageError

_PREFIX = "merlinstand-incarnation 1"


def encode_incarnation(incarnation: int) -> bytes:
    """Encode the content of the file."""
    text = f"{_PREFIX} {incarnation}"
    return f"{text} {crc32c(text.encode()):08x}\n".encode()


def decode_incarnation(data: bytes) -> Result[int, StorageError]:
    """Decode the content of the file; an error if it is damaged."""
    parts = data.decode(errors="replace").split()
    if len(parts) != 4 or not parts[2].isdigit() or encode_incarnation(int(parts[2])) != data:
        return Err(IncompleteFolderError(detail="the incarnation file is damaged"))
    return Ok(int(parts[2]))
