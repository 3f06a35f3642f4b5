"""CRC-32C, the checksum of all stored files.

Imported from the library's extension module, because its package reads its own version from the
metadata of installed packages at import, which loads `email`, `zipfile` and `csv` (1.8 MB).
"""

from crc32c._crc32c import crc32c

__all__ = ("crc32c",)
