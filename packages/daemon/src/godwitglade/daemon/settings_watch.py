"""Reloads the settings of a running process when their file changes."""

import os
import threading
import typing

from godwitglade.common import errors

CHECK_INTERVAL_S = 1.0


class SettingsWatcher:
    """Reloads the settings when the file changes or on request.

    ``load`` raises CodedError for a file that cannot be used; ``reject`` is
    called with that error, and the current settings remain in force.
    ``apply`` is called with settings that differ from the current ones, and
    after every successful reload on request. Setting
    ``reload_requested`` requests a reload.
    """

    def __init__(
        self,
        path: str,
        load: typing.Callable[[str], typing.Any],
        apply: typing.Callable[[typing.Any], None],
        reject: typing.Callable[[errors.CodedError], None],
    ) -> None:
        self._path = path
        self._load = load
        self._apply = apply
        self._reject = reject
        self._last_stamp = self._read_stamp()
        self._current = load(path)
        self.reload_requested = threading.Event()

    def run(self) -> None:
        """Watch the file until the process ends; needs its own thread."""
        while True:
            is_requested = self.reload_requested.wait(CHECK_INTERVAL_S)
            self.reload_requested.clear()
            self.check(is_requested)

    def check(self, is_requested: bool) -> None:
        """Reload the file if it has changed or a reload is requested."""
        stamp = self._read_stamp()
        if stamp == self._last_stamp and not is_requested:
            return
        self._last_stamp = stamp
        try:
            loaded = self._load(self._path)
        except errors.CodedError as error:
            self._reject(error)
            return
        if is_requested or loaded != self._current:
            self._current = loaded
            self._apply(loaded)

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            # A file that is being replaced exists again at the next check.
            return None
        return status.st_mtime_ns, status.st_size
