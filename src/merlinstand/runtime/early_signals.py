"""Signal handling before the rest of a program is loaded.

Like `early_listeners`, this module needs only the standard library and no event loop.
"""

import signal


def ignore_reload_signal() -> None:
    """Ignore SIGHUP, whose default action ends the process, until `run_host` handles it.

    Nothing is lost: the settings are read after this, and SIGHUP only says that they have changed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
