"""Signals that a process gets before it has started.

Importing the program takes a while, in which a signal without a handler ends
the process. Imports nothing that takes time.
"""

import os
import signal
import threading
import typing

#: Set once a reload of the settings was requested.
reload_requested = threading.Event()


def handle() -> None:
    """Handle signals until the program installs handlers of its own.

    A request to stop ends the process: there is no work to finish yet.
    """
    signal.signal(signal.SIGHUP, _request_reload)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, _end)


def _request_reload(*_args: typing.Any) -> None:
    reload_requested.set()


def _end(*_args: typing.Any) -> None:
    os._exit(0)
