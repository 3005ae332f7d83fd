"""Settings that are read again while the process runs."""

import os
import threading
import typing

from godwitglade.common import errors

#: How often the file is looked at, in seconds.
WATCH_S = 1.0


class SettingsWatcher:
    """Reads the settings again when the file changes or is said to.

    ``load`` raises CodedError for a file that cannot be used. ``take`` gets
    settings that differ from those before, ``refuse`` the error; what was
    in force stays then.
    """

    def __init__(
        self,
        path: str,
        load: typing.Callable[[str], typing.Any],
        take: typing.Callable[[typing.Any], None],
        refuse: typing.Callable[[errors.CodedError], None],
    ) -> None:
        self._path = path
        self._load = load
        self._take = take
        self._refuse = refuse
        self._seen = self._stamp()
        self._held = load(path)
        self.asked = threading.Event()

    def run(self) -> None:
        """Watch for good, on a thread of its own."""
        while True:
            is_asked = self.asked.wait(WATCH_S)
            self.asked.clear()
            self.check(is_asked)

    def check(self, is_asked: bool) -> None:
        """Read the file if it has changed, or if that was asked for."""
        stamp = self._stamp()
        if stamp == self._seen and not is_asked:
            return
        self._seen = stamp
        try:
            found = self._load(self._path)
        except errors.CodedError as error:
            self._refuse(error)
            return
        if is_asked or found != self._held:
            self._held = found
            self._take(found)

    def _stamp(self) -> tuple[int, int] | None:
        try:
            found = os.stat(self._path)
        except OSError:
            # A file that is being replaced is there again at the next look.
            return None
        return found.st_mtime_ns, found.st_size
