"""Logs that never block and tell how much they dropped."""

import threading

from godwitglade.daemon import log_queue


class SlowStream:
    """A stream that writes nothing until it is opened."""

    def __init__(self):
        self.opened = threading.Event()
        self.text = ''

    def write(self, text):
        self.opened.wait(5)
        self.text += text

    def flush(self):
        pass


class BrokenStream:
    """A stream that nobody reads."""

    def write(self, text):
        raise BrokenPipeError

    def flush(self):
        pass


def make(stream, max_lines=10):
    return log_queue.LogQueue(stream, lambda n: f'dropped {n}\n', max_lines)


def test_lines_are_written_in_order():
    stream = SlowStream()
    stream.opened.set()
    made = make(stream, 100)
    for number in range(50):
        made.write(f'{number}\n')
    made.close()
    assert stream.text == ''.join(f'{n}\n' for n in range(50))


def test_full_queue_drops_lines_and_tells_how_many():
    stream = SlowStream()
    made = make(stream)
    for number in range(100):
        made.write(f'{number}\n')
    stream.opened.set()
    made.close()
    lines = stream.text.splitlines()
    dropped = sum(int(x.split()[1]) for x in lines if x.startswith('dropped'))
    assert dropped and len(lines) - 1 + dropped == 100


def test_broken_stream_stops_nobody():
    made = make(BrokenStream())
    for number in range(100):
        made.write(f'{number}\n')
    made.close()
