"""How much one gateway process carries: lookups and streamed chunks, and what each costs.

Starts one control replica, one gateway, cheap back ends and load processes on loopback.
The processor time of the gateway a request is the steadier figure on a busy machine.

Usage: python benchmarks/gateway_throughput.py [--kind lookup|stream] [--seconds 8]
       [--load-processes 2] [--connections 16] [--profile FILE]
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).parent
BASE_PORT = 24_100
BACKEND_COUNT = 3
CHUNKS = 50
CHUNK_INTERVAL_SECONDS = 0.005
LAUNCH = "import sys; from merlinstand.cli.main import main; main()"
WARM_UP_SECONDS = 1.0

DEPLOYMENT = """
[deployment]
name = "bench"
region = "r"
zones = ["z"]
[data]
folder = "{folder}"
[[control]]
node = "control-1"
zone = "z"
address = "127.0.0.1:{base}1"
http_address = "127.0.0.1:{base}2"
[[gateway]]
node = "gateway-1"
zone = "z"
address = "127.0.0.1:{base}3"
http_address = "127.0.0.1:{base}4"
[gateway_options.admission]
maximum_requests = 20000
"""


def deployment_files(folder: Path) -> tuple[Path, Path]:
    """Write the settings and the configuration."""
    settings = folder / "merlinstand.toml"
    settings.write_text(DEPLOYMENT.format(folder=folder / "data", base=BASE_PORT // 10))
    lines = []
    for name, kind, model in (("raw-api", "service", ""), ("raw-llm", "engine", "m")):
        lines.append(f'[[pool]]\nname = "{name}"\nkind = "{kind}"\nmodel = "{model}"')
        for number in range(BACKEND_COUNT):
            lines.append(
                f'[[pool.backends]]\nbackend_id = "{name}-{number}"\nzone = "z"\n'
                f'address = "127.0.0.1:{BASE_PORT + 10 + number}"'
            )
    for number in range(256):
        lines.append(
            f'[[limits]]\ncaller = "c{number}"\nrequests_per_second = 1e6\ntokens_per_second = 1e9'
        )
    configuration = folder / "configuration.toml"
    configuration.write_text("\n".join(lines))
    return settings, configuration


def processor_seconds(process_id: int) -> float:
    """Processor time used by a process so far."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def run_load(options: argparse.Namespace, gateway: subprocess.Popen[bytes]) -> dict[str, object]:
    """Run the load processes and gather their figures."""
    address = f"127.0.0.1:{BASE_PORT + 4}"
    command = [sys.executable, str(FOLDER / "raw_load.py"), address, options.kind]
    command += [str(options.connections), str(options.seconds)]
    before, began = processor_seconds(gateway.pid), time.monotonic()
    loads = [
        subprocess.Popen(command, stdout=subprocess.PIPE) for _ in range(options.load_processes)
    ]
    outputs = [json.loads(load.communicate()[0]) for load in loads]
    elapsed, used = time.monotonic() - began, processor_seconds(gateway.pid) - before
    latencies = sorted(one for output in outputs for one in output["latencies"])
    count, chunks = len(latencies), sum(output["chunks"] for output in outputs)
    figures: dict[str, object] = {
        "kind": options.kind,
        "requests_per_second": round(count / options.seconds),
        "failures": sum(output["failures"] for output in outputs),
        "p50_ms": round(latencies[count // 2] * 1000, 2),
        "p99_ms": round(latencies[count * 99 // 100] * 1000, 2),
        "gateway_processor_share": round(used / elapsed, 2),
        "processor_us_a_request": round(used / count * 1e6),
    }
    if chunks:
        figures["chunks_per_second"] = round(chunks / options.seconds)
        figures["processor_us_a_chunk"] = round(used / chunks * 1e6, 1)
    return figures


def main() -> None:
    """Start everything, measure, stop everything."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--kind", default="lookup", choices=("lookup", "stream"))
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--load-processes", type=int, default=2)
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--profile", default="")
    options = parser.parse_args()
    children: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        settings, configuration = deployment_files(folder)
        base = [sys.executable, "-c", LAUNCH]
        log = (folder / "log").open("ab")
        try:
            for number in range(BACKEND_COUNT):
                port = str(BASE_PORT + 10 + number)
                raw = [sys.executable, str(FOLDER / "raw_backend.py"), port]
                children.append(subprocess.Popen([*raw, str(CHUNKS), str(CHUNK_INTERVAL_SECONDS)]))
            common = ["--settings", str(settings), "--node"]
            control = [*base, "control", *common, "control-1"]
            children.append(subprocess.Popen(control, stderr=log))
            profile = ["--profile", options.profile] if options.profile else []
            gateway = subprocess.Popen(
                [*base, "gateway", *common, "gateway-1", *profile], stderr=log
            )
            children.append(gateway)
            apply = [*base, "config", "apply", str(configuration), "--settings", str(settings)]
            subprocess.run(apply, check=True, stdout=subprocess.DEVNULL)
            time.sleep(3 * WARM_UP_SECONDS)
            print(json.dumps(run_load(options, gateway)))
        finally:
            for child in reversed(children):
                child.terminate()
            for child in children:
                child.wait()


if __name__ == "__main__":
    main()
