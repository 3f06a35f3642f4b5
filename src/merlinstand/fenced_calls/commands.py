"""The log command that precedes each fenced call."""

import msgspec


class RecordCallIntent(msgspec.Struct, frozen=True, tag="note_turn"):
    """Records that a leader intends to call the platform about a subject; precedes each call."""

    subject: str
    holder: str
