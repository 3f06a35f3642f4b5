"""Deltas of the configuration table give every receiver the same content."""

from hypothesis import given, settings
from hypothesis import strategies as st

from merlinstand.configuration.table import ConfigurationTable

OPERATIONS = st.lists(
    st.tuples(st.sampled_from("abcde"), st.booleans(), st.integers(0, 3)), max_size=40
)


def _content(table: ConfigurationTable) -> dict[str, tuple[int, bytes]]:
    return {key: (entry.revision, entry.payload) for key, entry in table.entries.items()}


@settings(max_examples=200, deadline=None, derandomize=True)
@given(operations=OPERATIONS, maximum_changes=st.sampled_from([4, 8, 100]))
def test_receivers_and_relays_reach_the_same_content(
    operations: list[tuple[str, bool, int]], maximum_changes: int
) -> None:
    source = ConfigurationTable(maximum_changes)
    receiver_of_source, relay, receiver_of_relay = (
        ConfigurationTable(maximum_changes) for _ in range(3)
    )
    for revision, (key, deleted, pull) in enumerate(operations, start=1):
        if deleted and key in source.entries:
            source.delete(key, revision)
        else:
            source.put(key, str(revision).encode(), revision)
        if pull == 1:
            _pull(receiver_of_source, source)
        if pull >= 2:
            _pull(relay, source)
        if pull == 3:
            _pull(receiver_of_relay, relay)
    for receiver, sender in (
        (receiver_of_source, source),
        (relay, source),
        (receiver_of_relay, relay),
    ):
        _pull(receiver, sender)
        assert _content(receiver) == _content(source)
        assert receiver.revision == source.revision


def _pull(receiver: ConfigurationTable, sender: ConfigurationTable) -> None:
    delta = sender.delta_since(receiver.revision)
    if delta.to_revision <= receiver.revision:
        assert delta.entries == ()
        return
    before = _content(receiver)
    changed = set(receiver.apply(delta))
    after = _content(receiver)
    really_changed = {
        key for key in before.keys() | after.keys() if before.get(key) != after.get(key)
    }
    assert really_changed <= changed


@settings(max_examples=100, deadline=None, derandomize=True)
@given(operations=OPERATIONS)
def test_restored_table_returns_the_same_deltas(operations: list[tuple[str, bool, int]]) -> None:
    table, restored = ConfigurationTable(8), ConfigurationTable(8)
    for revision, (key, deleted, _) in enumerate(operations, start=1):
        if deleted and key in table.entries:
            table.delete(key, revision)
        else:
            table.put(key, b"x", revision)
    restored.restore(table.state())
    for have in range(len(operations) + 2):
        assert restored.delta_since(have) == table.delta_since(have)


def test_delta_has_only_changes_and_is_full_beyond_the_retained_ones() -> None:
    table = ConfigurationTable(8)
    for revision in range(1, 21):
        table.put(f"k{revision}", b"x", revision)
    recent = table.delta_since(18)
    assert (recent.full, [entry.key for entry in recent.entries]) == (False, ["k19", "k20"])
    old = table.delta_since(1)
    assert (old.full, len(old.entries)) == (True, 20)
    assert table.delta_since(99).entries == ()
