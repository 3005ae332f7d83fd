"""The log queue never blocks and reports the number of dropped lines."""

import threading

from godwitglade.daemon import log_queue


class SlowStream:
    """A stream that blocks writes until ``opened`` is set."""

    def __init__(self):
        self.opened = threading.Event()
        self.text = ''

    def write(self, text):
        self.opened.wait(5)
        self.text += text

    def flush(self):
        pass


class BrokenStream:
    """A stream whose reader is closed."""

    def write(self, text):
        raise BrokenPipeError

    def flush(self):
        pass


def make_queue(stream, max_lines=10):
    return log_queue.LogQueue(stream, lambda n: f'dropped {n}\n', max_lines)


def test_lines_are_written_in_order():
    stream = SlowStream()
    stream.opened.set()
    log_queue_ = make_queue(stream, 100)
    for number in range(50):
        log_queue_.write(f'{number}\n')
    log_queue_.close()
    assert stream.text == ''.join(f'{n}\n' for n in range(50))


def test_full_queue_drops_lines_and_reports_their_number():
    stream = SlowStream()
    log_queue_ = make_queue(stream)
    for number in range(100):
        log_queue_.write(f'{number}\n')
    stream.opened.set()
    log_queue_.close()
    lines = stream.text.splitlines()
    reports = [line for line in lines if line.startswith('dropped')]
    kept = [int(line) for line in lines if line not in reports]
    dropped = sum(int(report.split()[1]) for report in reports)
    assert dropped and len(kept) + dropped == 100
    assert kept == sorted(set(kept))


def test_broken_stream_does_not_block_writers():
    log_queue_ = make_queue(BrokenStream())
    for number in range(100):
        log_queue_.write(f'{number}\n')
    log_queue_.close()
