"""Reads KNOWN-RED.txt: tests that fail for a real fault which is not yet mended.

Prints the list to standard error and pytest's `--deselect` arguments to standard output.
Ends with 1 if the list is malformed, longer than allowed, or names a test that is not
there.
"""

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FILE = ROOT / "KNOWN-RED.txt"
MAXIMUM_ENTRIES = 3
FIELD_COUNT = 3


def main() -> int:
    """Check the list and print the arguments."""
    lines = FILE.read_text(encoding="utf-8").splitlines() if FILE.exists() else []
    entries = [line.strip() for line in lines if line.strip() and not line.startswith("#")]
    if len(entries) > MAXIMUM_ENTRIES:
        return _refuse(f"{len(entries)} entries, at most {MAXIMUM_ENTRIES} are allowed")
    arguments = []
    for entry in entries:
        fields = [field.strip() for field in entry.split("|")]
        if len(fields) != FIELD_COUNT or not all(fields):
            return _refuse(f"not `test | cause | issue`: {entry}")
        if not _exists(fields[0]):
            return _refuse(f"no such test: {fields[0]}")
        print(f"KNOWN RED, not run: {entry}", file=sys.stderr)
        arguments.append(f"--deselect={fields[0]}")
    print(" ".join(arguments))
    return 0


def _exists(test: str) -> bool:
    """Tell whether `path::name` names one test, so that no whole file is passed over."""
    path, _separator, name = test.partition("::")
    function = name.rsplit("::", 1)[-1].split("[", 1)[0]
    file = ROOT / path
    if not function or not file.is_file():
        return False
    definition = rf"^\s*def {re.escape(function)}\("
    return re.search(definition, file.read_text(encoding="utf-8"), re.MULTILINE) is not None


def _refuse(problem: str) -> int:
    print(f"KNOWN-RED.txt: {problem}", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main())
