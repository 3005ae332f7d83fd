"""The pool starts enough threads for concurrent jobs, and no more."""

import sys
import threading

import pytest

from godwitglade.daemon import growing_pool

ROUNDS = 60_000


class Pool(growing_pool.GrowingPool):
    """A pool that runs functions instead of serving connections."""

    def _spawn_worker(self):
        thread = threading.Thread(target=self.work, daemon=True)
        thread.start()
        return thread

    def work(self):
        while (job := self.get()) is not None:
            job()


@pytest.fixture
def short_switch_interval():
    """Minimize the thread switch interval to provoke races."""
    previous_s = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    yield
    sys.setswitchinterval(previous_s)


def test_number_of_threads_stays_near_concurrent_jobs(short_switch_interval):
    pool = Pool(None, 1_000)
    for _ in range(ROUNDS):
        barrier, ended = threading.Barrier(2), threading.Semaphore(0)

        def job(barrier=barrier, ended=ended):
            barrier.wait(5)
            ended.release()

        pool.put(job)
        pool.put(job)
        ended.acquire()
        ended.acquire()
    # Jobs may arrive before the threads of the previous ones are idle again.
    assert len(pool._threads) <= 6
    for _ in pool._threads:
        pool._queue.put(None)
