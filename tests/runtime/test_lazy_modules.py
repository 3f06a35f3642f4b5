"""Lazy modules: what counts as a use, and that a use finds everything."""

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
        pytest.param("import library, library", "", id="imports alone load nothing"),
        pytest.param(
            "from library.light import value; print(value)",
            "loaded: light|1",
            id="a submodule without its package",
        ),
        pytest.param(
            "import library; print(library.light.value)",
            "loaded: light|1",
            id="a submodule by its name",
        ),
        pytest.param(
            "from library.heavy import weigh", "", id="a function is taken without loading"
        ),
        pytest.param(
            "from library.heavy import weigh; print(weigh(2), weigh(3))",
            "loaded: heavy|4 6",
            id="its first call loads the module, once",
        ),
        pytest.param(
            "import library; print(library.name, library.name)",
            "loaded: library|lib lib",
            id="a use of the package",
        ),
        pytest.param(
            "import library; print(getattr(library, 'nothing', 'no such name'))",
            "loaded: library|no such name",
            id="a name that is nowhere",
        ),
        pytest.param(
            "import library; library.name; print(type(library), type(library.__loader__).__name__)",
            "loaded: library|<class 'module'> SourceFileLoader",
            id="a loaded module is like any other",
        ),
        pytest.param(
            "from broken import ready; print(ready)",
            "stand-in",
            id="a stand-in is taken without loading",
        ),
        pytest.param(
            "import broken\ntry: broken.other\nexcept RuntimeError as error: print(error)",
            "broken",
            id="a module that fails does so at its use",
        ),
        pytest.param(
            "from library.heavy import weigh\nimport os, library, sys\n"
            "path = library.__path__[0] + '/heavy.py'\nos.rename(path, path + '.away')\n"
            "for turn in range(2):\n    try: weigh(2)\n    except OSError: print('not yet')\n"
            "os.rename(path + '.away', path)\nprint(weigh(2))",
            "not yet|not yet|loaded: heavy|4",
            id="a module that could not be read is loaded at a later use",
        ),
        pytest.param(
            "try: import missing\nexcept ImportError: print('none')",
            "none",
            id="a module that isn't there is missed at once",
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
