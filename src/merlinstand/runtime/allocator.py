"""Settings of the C library's memory allocator for processes that handle large request bodies.

By default glibc raises its threshold for separate mappings to the largest block that was freed,
up to 32 MiB. Later bodies below it then come from the heap, which keeps freed memory below any
block still in use, and up to twice the threshold at its end (mallopt(3)).
"""

import functools

_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
"""Parameters of glibc's `mallopt`, the same on all its platforms."""
MAPPING_THRESHOLD_BYTES = 256 * 1024
"""Larger blocks are mapped separately, so that their memory is returned when they are freed."""
LARGE_BLOCK_BYTES = 1024 * 1024
"""The allocator's default is kept until the process gets a block of this size."""


def prepare_for_block(size_bytes: int) -> None:
    """Make the allocator return the memory of large blocks, if this is the size of one."""
    if size_bytes >= LARGE_BLOCK_BYTES:
        return_large_blocks()


@functools.cache
def return_large_blocks() -> bool:
    """Make the allocator return the memory of large blocks at once; lasts for the process.

    Returns:
        Whether the allocator supports it; another C library may manage without.
    """
    # Imported here: only processes that get large bodies need it.
    import ctypes

    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    is_set = bool(mallopt(_M_MMAP_THRESHOLD, MAPPING_THRESHOLD_BYTES))
    return is_set and bool(mallopt(_M_TRIM_THRESHOLD, MAPPING_THRESHOLD_BYTES))
