"""The allocator's settings: only processes that get large blocks pay for them."""

import subprocess
import sys

SCRIPT = """
import sys
from merlinstand.runtime.allocator import LARGE_BLOCK_BYTES, prepare_for_block
prepare_for_block(LARGE_BLOCK_BYTES - 1)
before = "ctypes" in sys.modules
prepare_for_block(LARGE_BLOCK_BYTES)
print(before, "ctypes" in sys.modules)
"""
RESIDENT = """
import re
from pathlib import Path
from merlinstand.runtime.allocator import prepare_for_block

def resident():
    return int(re.search(r"VmRSS:\\s+(\\d+)", Path("/proc/self/status").read_text())[1]) * 1024

if {prepares}:
    prepare_for_block(1 << 20)
bytearray(b"x" * (24 << 20))
before = resident()
blocks = [bytearray(b"x" * (8 << 20)) for _ in range(4)]
kept = bytearray(b"x" * (1 << 20))
blocks.clear()
print(resident() - before)
"""


def run(script: str) -> str:
    return subprocess.run(
        [sys.executable, "-c", script], capture_output=True, check=True, text=True
    ).stdout.strip()


def test_module_for_the_setting_is_loaded_for_large_blocks_only() -> None:
    assert run(SCRIPT) == "False True"


def test_memory_of_large_blocks_is_returned() -> None:
    assert int(run(RESIDENT.format(prepares=True))) < 8 << 20
