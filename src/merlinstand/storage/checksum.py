"""CRC-32C, the checksum of every file here.

From the library's inner module: its package asks for its own version at import, which reads the
metadata of installed packages with `email`, `zipfile` and `csv` (1.8 MB).
"""

from crc32c._crc32c import crc32c

__all__ = ("crc32c",)
