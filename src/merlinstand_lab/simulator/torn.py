"""What a crash leaves of a journal's unsynced tail."""

import random
from collections.abc import Sequence


def survive_crash(
    durable: list[bytes], unsynced: Sequence[bytes], random_source: random.Random
) -> list[bytes]:
    """Cut an append at a random byte and recover as a restarting process would.

    Args:
        durable: Records that were synced.
        unsynced: Records of the append that was under way.
        random_source: Chooses the cut.

    Returns:
        The records that recovery finds.
    """
    total = sum(len(record) for record in unsynced)
    cut = random_source.randint(0, total)
    kept = list(durable)
    for record in unsynced:
        cut -= len(record)
        if cut < 0:
            break
        kept.append(record)
    return kept
