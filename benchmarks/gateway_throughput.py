"""Measures the throughput of one gateway process, and its cost per lookup and streamed chunk.

Starts one control replica, one gateway, minimal backends and load processes on loopback. On a busy
machine the gateway's processor time per request varies less than its throughput. A probe beside
the load alternates requests sent directly to a backend and through the gateway; for both paths'
latencies the difference and the ratio are printed.

Usage: python benchmarks/gateway_throughput.py [--kind lookup|stream] [--seconds 8]
       [--load-processes 2] [--connections 16] [--pause-seconds 0] [--chunk-seconds 0.005]
       [--profile FILE]
"""

import argparse
import contextlib
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).parent
BACKEND_COUNT = 3
GATEWAY_PORT_INDEX = 3
DAEMON_PORT_COUNT = 6
CHUNKS = 50
LAUNCH_CODE = "import sys; from merlinstand.cli.main import main; main()"
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
address = "127.0.0.1:{ports[0]}"
http_address = "127.0.0.1:{ports[1]}"
health_address = "127.0.0.1:{ports[4]}"
[[gateway]]
node = "gateway-1"
zone = "z"
address = "127.0.0.1:{ports[2]}"
http_address = "127.0.0.1:{ports[3]}"
health_address = "127.0.0.1:{ports[5]}"
[gateway_options.admission]
maximum_requests = 20000
"""


def free_ports(count: int) -> list[int]:
    """Return TCP ports that are unused on 127.0.0.1."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for listener in sockets:
            listener.bind(("127.0.0.1", 0))
        return [listener.getsockname()[1] for listener in sockets]


def write_deployment_files(folder: Path, ports: list[int]) -> tuple[Path, Path]:
    """Write the settings and the configuration, and return the paths of both files."""
    settings = folder / "merlinstand.toml"
    settings.write_text(DEPLOYMENT.format(folder=folder / "data", ports=ports))
    lines = []
    for name, kind, model in (("raw-api", "service", ""), ("raw-llm", "engine", "m")):
        lines.append(f'[[pool]]\nname = "{name}"\nkind = "{kind}"\nmodel = "{model}"')
        for number in range(BACKEND_COUNT):
            lines.append(
                f'[[pool.backends]]\nbackend_id = "{name}-{number}"\nzone = "z"\n'
                f'address = "127.0.0.1:{ports[DAEMON_PORT_COUNT + number]}"'
            )
    for number in range(256):
        lines.append(
            f'[[limits]]\ncaller = "c{number}"\nrequests_per_second = 1e6\ntokens_per_second = 1e9'
        )
    configuration = folder / "configuration.toml"
    configuration.write_text("\n".join(lines))
    return settings, configuration


def processor_seconds(process_id: int) -> tuple[float, float]:
    """Return the processor time used by a process so far in seconds: total, and in kernel mode."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rsplit(")", 1)[1].split()
    user, system = (int(field) / os.sysconf("SC_CLK_TCK") for field in fields[11:13])
    return user + system, system


def peak_megabytes(process_id: int) -> float:
    """Return the peak resident memory of a process in MiB."""
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    return round(int(fields["VmHWM"].split()[0]) / 1024, 1)


def run_load(
    options: argparse.Namespace, gateway: subprocess.Popen[bytes], ports: list[int]
) -> dict[str, object]:
    """Run the load processes and the probe, and return the combined figures."""
    address = f"127.0.0.1:{ports[GATEWAY_PORT_INDEX]}"
    command = [sys.executable, str(FOLDER / "raw_load.py"), address, options.kind]
    command += [str(options.connections), str(options.seconds), str(options.pause_seconds)]
    backend = f"127.0.0.1:{ports[DAEMON_PORT_COUNT]}"
    probe_command = [sys.executable, str(FOLDER / "raw_probe.py"), address, backend, options.kind]
    (before, system_before), began = processor_seconds(gateway.pid), time.monotonic()
    probe = subprocess.Popen([*probe_command, str(options.seconds)], stdout=subprocess.PIPE)
    loads = [
        subprocess.Popen(command, stdout=subprocess.PIPE) for _ in range(options.load_processes)
    ]
    outputs = [json.loads(load.communicate()[0]) for load in loads]
    probe_output = json.loads(probe.communicate()[0])
    after, system_after = processor_seconds(gateway.pid)
    elapsed, used = time.monotonic() - began, after - before
    probes = len(probe_output["gateway"]["first"])
    count = sum(len(output["latencies"]) for output in outputs) + probes
    chunks = sum(output["chunks"] for output in outputs)
    figures: dict[str, object] = {
        "kind": options.kind,
        "requests_per_second": round(count / options.seconds),
        "failures": sum(output["failures"] for output in outputs),
        "gateway_processor_share": round(used / elapsed, 2),
        "kernels_share_of_it": round((system_after - system_before) / used, 2),
        "processor_us_a_request": round(used / count * 1e6),
        "peak_megabytes": peak_megabytes(gateway.pid),
        "probes": probes,
        **latency_figures(probe_output, "first" if options.kind == "stream" else "whole"),
    }
    if options.kind == "stream":
        chunks += probes
        figures["chunks_per_second"] = round(chunks / options.seconds)
        figures["processor_us_a_chunk"] = round(used / chunks * 1e6, 1)
    return figures


def latency_figures(
    probe_output: dict[str, dict[str, list[float]]], measure: str
) -> dict[str, float]:
    """Return the median and 99th percentile of the direct latencies and the gateway's overhead.

    The added latency and the ratio compare the same percentile of both paths.
    """
    figures: dict[str, float] = {}
    direct, gateway = (
        sorted(probe_output["direct"][measure]),
        sorted(probe_output["gateway"][measure]),
    )
    for percent in (50, 99):
        position = len(direct) * percent // 100
        figures[f"{measure}_p{percent}_direct_ms"] = round(direct[position] * 1000, 3)
        figures[f"{measure}_p{percent}_added_ms"] = round(
            (gateway[position] - direct[position]) * 1000, 3
        )
        figures[f"{measure}_p{percent}_ratio"] = round(gateway[position] / direct[position], 2)
    return figures


def main() -> None:
    """Start the processes, run the load, print the figures as JSON and stop the processes."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--kind", default="lookup", choices=("lookup", "stream"))
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--load-processes", type=int, default=2)
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--pause-seconds", type=float, default=0.0)
    parser.add_argument("--chunk-seconds", type=float, default=0.005)
    parser.add_argument("--profile", default="")
    options = parser.parse_args()
    ports = free_ports(DAEMON_PORT_COUNT + BACKEND_COUNT)
    children: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        settings, configuration = write_deployment_files(folder, ports)
        base = [sys.executable, "-c", LAUNCH_CODE]
        log = (folder / "log").open("ab")
        try:
            for number in range(BACKEND_COUNT):
                port = str(ports[DAEMON_PORT_COUNT + number])
                raw = [sys.executable, str(FOLDER / "raw_backend.py"), port]
                children.append(subprocess.Popen([*raw, str(CHUNKS), str(options.chunk_seconds)]))
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
            print(json.dumps(run_load(options, gateway, ports)))
        finally:
            for child in reversed(children):
                child.terminate()
            for child in children:
                child.wait()


if __name__ == "__main__":
    main()
