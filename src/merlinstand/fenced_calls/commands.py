"""The command of the directory's log that precedes each fenced call."""

import msgspec


class RecordCallIntent(msgspec.Struct, frozen=True, tag="note_turn"):
    """The leader is about to call the platform about a subject; noted before it does."""

    subject: str
    holder: str
