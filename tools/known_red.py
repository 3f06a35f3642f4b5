"""Reads KNOWN-RED.txt, the list of tests that fail because of a known bug that is not yet fixed.

Prints the entries to standard error and pytest's `--deselect` arguments to standard output. Exits
with status 1 if the list is malformed, has too many entries that count, or names a test that does
not exist.
"""

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FILE = ROOT / "KNOWN-RED.txt"
MAXIMUM_ENTRIES = 3
UNLIMITED_ISSUES = frozenset(("58",))
"""Issues whose entries don't count against the limit."""
FIELD_COUNT = 3


def main() -> int:
    """Check the list, print the pytest arguments, and return the exit status."""
    lines = FILE.read_text(encoding="utf-8").splitlines() if FILE.exists() else []
    entries = [line.strip() for line in lines if line.strip() and not line.startswith("#")]
    counted = [entry for entry in entries if _issue_of(entry) not in UNLIMITED_ISSUES]
    if len(counted) > MAXIMUM_ENTRIES:
        return _report_invalid_list(
            f"{len(counted)} entries that count, at most {MAXIMUM_ENTRIES} are allowed"
        )
    arguments = []
    for entry in entries:
        fields = [field.strip() for field in entry.split("|")]
        if len(fields) != FIELD_COUNT or not all(fields):
            return _report_invalid_list(f"not `test | cause | issue`: {entry}")
        if not _is_test_defined(fields[0]):
            return _report_invalid_list(f"no such test: {fields[0]}")
        print(f"KNOWN RED, not run: {entry}", file=sys.stderr)
        arguments.append(f"--deselect={fields[0]}")
    print(" ".join(arguments))
    return 0


def _issue_of(entry: str) -> str:
    """Return the last field of an entry."""
    return entry.rpartition("|")[2].strip()


def _is_test_defined(test: str) -> bool:
    """Return whether `path::name` names an existing test function; a whole file is not accepted."""
    path, _separator, name = test.partition("::")
    function = name.rsplit("::", 1)[-1].split("[", 1)[0]
    file = ROOT / path
    if not function or not file.is_file():
        return False
    definition = rf"^\s*def {re.escape(function)}\("
    return re.search(definition, file.read_text(encoding="utf-8"), re.MULTILINE) is not None


def _report_invalid_list(problem: str) -> int:
    print(f"KNOWN-RED.txt: {problem}", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main())
