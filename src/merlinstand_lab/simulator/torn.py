"""What a crash leaves of a journal: real bytes, cut or damaged, read by real recovery."""

import random
from collections.abc import Sequence

from merlinstand.storage.journal_format import encode_frame, encode_header
from merlinstand.storage.journal_reader import decode_any_journal

_SALT = 1
"""Any number: the journal's checksums are salted with it."""
_ZERO_FILL_SHARE = 0.25
"""How often the file had its new length already, and the rest of it reads as zeros."""
_HOLE_SHARE = 0.25
"""How often pages reached the disk out of order, which leaves a hole in the middle."""


def survive_crash(
    durable: Sequence[bytes], unsynced: Sequence[bytes], random_source: random.Random
) -> list[bytes]:
    """Damage the frame that was being written and recover as a restarting process would.

    Args:
        durable: Records that were synced.
        unsynced: Records of the sync that was under way.
        random_source: Chooses the damage.

    Returns:
        The records that recovery finds.
    """
    sound = encode_header(_SALT) + encode_frame(durable, 0, _SALT)
    frame = tear(encode_frame(unsynced, 1, _SALT), random_source)
    return list(decode_any_journal(sound + frame).unwrap().records)


def tear(frame: bytes, random_source: random.Random) -> bytes:
    """Return what the disk holds of a frame whose sync never ended."""
    cut = random_source.randint(0, len(frame))
    kind = random_source.random()
    if kind < _ZERO_FILL_SHARE:
        return frame[:cut] + bytes(len(frame) - cut)
    if kind < _ZERO_FILL_SHARE + _HOLE_SHARE:
        end = random_source.randint(cut, len(frame))
        return frame[:cut] + bytes(end - cut) + frame[end:]
    return frame[:cut]
