"""Starts a router on the platform: ``python -m dotterelhatch.platform``."""

import signal
import sys

__all__ = ('start',)


def start() -> int:
    """Run the process and return its exit code.

    SIGHUP terminates a process without a handler, and importing takes most of
    the start-up time, so the signal is ignored before the imports. No reload is
    lost, because the settings are read after them.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from dotterelhatch.platform.process import main  # noqa: WPS433

    return main()


if __name__ == '__main__':
    sys.exit(start())
