"""Entry point of a worker process: `python -m merlinstand_lab.capacity.worker SPEC`.

Reads orders as JSON lines from standard input and answers each with a report line on
standard output. It ends when standard input does, so no worker outlives its driver.
"""

from gevent import monkey

monkey.patch_all()

import gc  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

import msgspec  # noqa: E402
from gevent.fileobject import FileObject  # noqa: E402

from merlinstand_lab.capacity.hollow import HollowProcess, read_worker_spec  # noqa: E402
from merlinstand_lab.capacity.worker_spec import AnyOrder  # noqa: E402


def main(spec_path: str) -> int:
    """Host what a spec names until standard input ends."""
    process = HollowProcess(read_worker_spec(Path(spec_path)))
    process.start()
    gc.collect()
    orders = FileObject(sys.stdin.buffer, "rb", close=False)
    decoder = msgspec.json.Decoder(AnyOrder)
    _answer(msgspec.json.encode({"state": "started"}))
    for line in orders:
        _answer(msgspec.json.encode(process.perform(decoder.decode(line))))
    process.kill()
    return 0


def _answer(line: bytes) -> None:
    sys.stdout.buffer.write(line + b"\n")
    sys.stdout.buffer.flush()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
