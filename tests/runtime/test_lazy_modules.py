"""Lazy modules: what loads them, and that all names are found once loaded."""

import subprocess
import sys
from pathlib import Path

import pytest

LIBRARY = {
    "library/__init__.py": "print('loaded: library')\nimport library.heavy\nname = 'lib'",
    "library/light.py": "print('loaded: light')\nvalue = 1",
    "library/heavy.py": "print('loaded: heavy')\nimport library\ndef weigh(n): return n * 2",
    "broken.py": "raise RuntimeError('broken')",
}
BEGIN = """
from merlinstand.runtime.lazy_modules import import_lazily, lazy_functions
import_lazily({
    "library": {},
    "library.heavy": lazy_functions("library.heavy", "weigh"),
    "broken": {"ready": "stand-in"},
    "missing": {},
})
"""


@pytest.mark.parametrize(
    ("code", "output"),
    [
        pytest.param("import library, library", "", id="importing alone loads nothing"),
        pytest.param(
            "from library.light import value; print(value)",
            "loaded: light|1",
            id="a submodule without its package",
        ),
        pytest.param(
            "import library; print(library.light.value)",
            "loaded: light|1",
            id="a submodule as an attribute",
        ),
        pytest.param(
            "from library.heavy import weigh",
            "",
            id="importing a placeholder function loads nothing",
        ),
        pytest.param(
            "from library.heavy import weigh; print(weigh(2), weigh(3))",
            "loaded: heavy|4 6",
            id="the first call loads the module once",
        ),
        pytest.param(
            "import library; print(library.name, library.name)",
            "loaded: library|lib lib",
            id="attribute access loads the package",
        ),
        pytest.param(
            "import library; print(getattr(library, 'nothing', 'no such name'))",
            "loaded: library|no such name",
            id="a missing attribute",
        ),
        pytest.param(
            "import library; library.name; print(type(library), type(library.__loader__).__name__)",
            "loaded: library|<class 'module'> SourceFileLoader",
            id="a loaded module is a regular module",
        ),
        pytest.param(
            "from broken import ready; print(ready)",
            "stand-in",
            id="importing a placeholder loads nothing",
        ),
        pytest.param(
            "import broken\ntry: broken.other\nexcept RuntimeError as error: print(error)",
            "broken",
            id="a failing module fails at first use",
        ),
        pytest.param(
            "from library.heavy import weigh\nimport os, library, sys\n"
            "path = library.__path__[0] + '/heavy.py'\nos.rename(path, path + '.away')\n"
            "for turn in range(2):\n    try: weigh(2)\n    except OSError: print('not yet')\n"
            "os.rename(path + '.away', path)\nprint(weigh(2))",
            "not yet|not yet|loaded: heavy|4",
            id="an unreadable module is loaded at a later use",
        ),
        pytest.param(
            "try: import missing\nexcept ImportError: print('none')",
            "none",
            id="a missing module fails at import",
        ),
    ],
)
def test_lazy_modules(code: str, output: str, tmp_path: Path) -> None:
    for name, text in LIBRARY.items():
        path = tmp_path / name
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)
    program = f"import sys\nsys.path[:0] = [{str(tmp_path)!r}, 'src']\n{BEGIN}\n{code}"
    done = subprocess.run(
        [sys.executable, "-S", "-c", program], capture_output=True, text=True, timeout=30
    )
    assert (done.stdout.strip().replace("\n", "|"), done.stderr) == (output, "")
