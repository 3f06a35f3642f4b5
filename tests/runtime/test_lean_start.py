"""Runs the host tests again with unused parts of libraries imported lazily."""

import subprocess
import sys

import pytest

_CODE = """
import sys
from merlinstand.runtime.lean_start import enable_lazy_imports
enable_lazy_imports()
import pytest
sys.exit(pytest.main(["-q", "-p", "no:cacheprovider", "-p", "no:xdist", sys.argv[1]]))
"""


@pytest.mark.parametrize(
    "tests",
    [
        pytest.param("tests/runtime/test_http_endpoint.py", id="falcon, pywsgi"),
        pytest.param("tests/runtime/test_http_client.py", id="geventhttpclient"),
        pytest.param("tests/runtime/test_tls.py", id="TLS, loaded at first use"),
        pytest.param("tests/runtime/test_host.py", id="logs, metrics, failures"),
    ],
)
def test_host_tests_pass_with_lazy_imports(tests: str) -> None:
    done = subprocess.run(
        [sys.executable, "-c", _CODE, tests], capture_output=True, text=True, timeout=300
    )
    assert done.returncode == 0, done.stdout + done.stderr
