"""Entry point of a worker process: `python -m merlinstand_lab.capacity.worker SPEC`.

Answers each line of standard input with a report line on standard output. It ends when standard
input does, so no worker outlives its driver.
"""

from gevent import monkey

monkey.patch_all()

import gc  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

import msgspec  # noqa: E402
from gevent.fileobject import FileObject  # noqa: E402

from merlinstand_lab.capacity.hollow import HollowProcess  # noqa: E402
from merlinstand_lab.capacity.worker_spec import WorkerSpec  # noqa: E402


def main(spec_path: str) -> int:
    """Host what a spec names until standard input ends."""
    spec = msgspec.json.decode(Path(spec_path).read_bytes(), type=WorkerSpec)
    process = HollowProcess(spec)
    process.start()
    gc.collect()
    questions = FileObject(sys.stdin.buffer, "rb", close=False)
    _answer(msgspec.json.encode({"state": "started"}))
    for _line in questions:
        _answer(msgspec.json.encode(process.report()))
    process.kill()
    return 0


def _answer(line: bytes) -> None:
    sys.stdout.buffer.write(line + b"\n")
    sys.stdout.buffer.flush()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
