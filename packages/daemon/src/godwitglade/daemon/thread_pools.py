"""Bounded thread pools that carry out blocking effects."""

import concurrent.futures
import typing

ReportException = typing.Callable[[BaseException], None]


class ThreadPool:
    """Runs functions on at most ``max_threads`` threads.

    Threads start on demand. ``report`` is called with each exception that a
    function raises.
    """

    def __init__(
        self, name: str, max_threads: int, report: ReportException
    ) -> None:
        self._report = report
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_threads, thread_name_prefix=name
        )

    def submit(
        self, function: typing.Callable[..., None], *args: typing.Any
    ) -> None:
        """Run ``function(*args)`` as soon as a thread is free."""
        try:
            future = self._executor.submit(function, *args)
        except RuntimeError:
            # The executor is shut down because the process is stopping.
            return
        future.add_done_callback(self._report_failure)

    def stop(self) -> None:
        """Cancel queued functions without waiting for running ones."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _report_failure(self, future: concurrent.futures.Future) -> None:
        if future.cancelled():
            return
        error = future.exception()
        if error is not None:
            self._report(error)
