"""Who feeds a trainer, and how far it came with each: the coordinators, or the old scripts."""

import enum

import msgspec

from merlinstand_lab.standins.settings import TrainerSettings

_SCRIPTS_MARK = "@scripts"


class FeedName(enum.Enum):
    """Who may feed a trainer."""

    COORDINATORS = "coordinators"
    SCRIPTS = "scripts"


class FeedBody(msgspec.Struct, frozen=True):
    """`POST /lab/feed`: pull from somebody else from now on."""

    feed: FeedName


class Feed:
    """One source of batches: where it is, and the last batch received from it.

    Each source numbers its own batches, so each keeps its own position. Going back to a
    source goes on behind the last batch received from it.
    """

    def __init__(self, label: str, addresses: tuple[str, ...]) -> None:
        """Begin before the first batch.

        Args:
            label: The consumer's name in the records of this source's batches.
            addresses: Where it may be asked.
        """
        self.label = label
        self.last_batch = 0
        self.last_nonce = ""
        self._addresses = addresses
        self._next = 0
        self._owner = ""

    @property
    def address(self) -> str:
        """Where to ask next."""
        return self._owner or self._addresses[self._next % len(self._addresses)]

    def redirect(self, owner: str) -> bool:
        """Ask the named owner from now on; returns whether that is news."""
        moved = owner != self._owner
        self._owner = owner
        return moved

    def try_next(self) -> None:
        """Ask the next address: this one did not answer as it should."""
        self._owner = ""
        self._next += 1

    def received(self, batch: int, nonce: str) -> None:
        """A batch came whole."""
        self.last_batch = batch
        self.last_nonce = nonce

    def fall_back(self, last_batch: int) -> None:
        """The checkpoint is older now: batches after this one count as not received."""
        self.last_batch = last_batch
        self.last_nonce = ""


def make_feeds(settings: TrainerSettings) -> dict[FeedName, Feed]:
    """Return the sources that a trainer's settings name."""
    feeds = {FeedName.COORDINATORS: Feed(settings.consumer, settings.coordinators)}
    if settings.scripts:
        # Batches are numbered without gap for each source; the records must tell them apart.
        label = settings.consumer + _SCRIPTS_MARK
        feeds[FeedName.SCRIPTS] = Feed(label, (settings.scripts,))
    return feeds


def trainer_of(consumer: str) -> str:
    """Return the trainer that a consumer's name in the records belongs to."""
    return consumer.removesuffix(_SCRIPTS_MARK)
