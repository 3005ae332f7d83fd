"""Processes that the demo, the benchmarks and the tests start."""

import contextlib
import functools
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing

import urllib3

START_TIMEOUT_S = 60
STOP_TIMEOUT_S = 10
POLL_S = 0.01

http = urllib3.PoolManager(maxsize=64, retries=False)
#: Errors of a request to a process that is not running.
HTTP_ERRORS = (urllib3.exceptions.HTTPError, OSError)
TimeoutExpired = subprocess.TimeoutExpired


class ConditionTimeoutError(Exception):
    """A condition did not become true in time."""


def await_condition(
    condition: typing.Callable[[], typing.Any],
    error_text: str,
    timeout_s: float = START_TIMEOUT_S,
) -> typing.Any:
    """Poll ``condition`` and return its first true result.

    Raises ConditionTimeoutError with ``error_text`` after ``timeout_s``.
    """
    deadline_s = time.monotonic() + timeout_s
    while not (result := condition()):
        if time.monotonic() > deadline_s:
            raise ConditionTimeoutError(error_text)
        time.sleep(POLL_S)
    return result


def free_address() -> str:
    """Return a loopback address that nothing listens on."""
    with socket.socket() as taken:
        taken.bind(('127.0.0.1', 0))
        return '127.0.0.1:%d' % taken.getsockname()[1]


class Process:
    """A Python module run as a process, signalled only by its own id.

    Its output goes to ``log_path`` if given, else to `read_line`.
    """

    def __init__(
        self,
        module: str,
        *arguments: str,
        environment: dict[str, str] | None = None,
        log_path: pathlib.Path | None = None,
    ) -> None:
        with contextlib.ExitStack() as stack:
            output, errors = subprocess.PIPE, None
            if log_path is not None:
                output = stack.enter_context(log_path.open('ab'))
                errors = subprocess.STDOUT
            self._popen = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=output,
                stderr=errors,
                env=environment,
                text=True,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self._popen.poll() is None

    def read_line(self) -> str:
        """Return the next line of the process's output."""
        return self._popen.stdout.readline().strip()

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self._popen.kill()
        self._popen.wait()

    def terminate(self) -> None:
        """Send SIGTERM to the process."""
        self._popen.terminate()

    def hang_up(self) -> None:
        """Send SIGHUP to the process."""
        self._popen.send_signal(signal.SIGHUP)

    def pause(self) -> None:
        """Pause the process with SIGSTOP until `resume`."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        self._popen.send_signal(signal.SIGCONT)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to end and return its exit status."""
        return self._popen.wait(timeout_s)

    def close(self) -> None:
        """Stop the process if it still runs and close its output."""
        if self.is_running:
            self.resume()
            self.terminate()
        try:
            self.wait()
        except subprocess.TimeoutExpired:
            self.kill()
        if self._popen.stdout is not None:
            self._popen.stdout.close()


class StandInProcess(Process):
    """A stand-in of `bench.standins` in a process of its own."""

    def __init__(self, name: str, **options: typing.Any) -> None:
        arguments = option_arguments(options)
        super().__init__(f'bench.standins.{name}', *arguments)

    @functools.cached_property
    def address(self) -> str:
        """Return ``ip:port``, once the stand-in has printed it."""
        return self.read_line()

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f'http://{self.address}'

    def set_faults(self, **faults: typing.Any) -> None:
        """Replace the faults; without arguments, clear them."""
        http.request('PUT', f'{self.url}/faults', json=faults)

    def get(self, path: str) -> typing.Any:
        """Return the JSON body of the response to a GET."""
        return http.request('GET', self.url + path).json()

    def put(self, path: str, plain: typing.Any) -> None:
        """PUT a JSON body."""
        http.request('PUT', self.url + path, json=plain)


def option_arguments(options: dict[str, typing.Any]) -> list[str]:
    """Return options as command-line arguments."""
    pairs = (
        ('--' + name.replace('_', '-'), value)
        for name, value in options.items()
        if value is not False
    )
    return [
        str(part)
        for name, value in pairs
        for part in ((name,) if value is True else (name, value))
    ]
