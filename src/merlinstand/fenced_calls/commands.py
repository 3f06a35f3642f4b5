"""The log command that precedes each fenced call."""

import msgspec


class RecordCallIntent(msgspec.Struct, frozen=True, tag="note_turn"):
    """The leader is about to call the platform about a subject; committed before the call."""

    subject: str
    holder: str
