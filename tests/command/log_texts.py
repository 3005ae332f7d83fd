"""Makes log lines in the format that hosts write."""

from godwitglade.common import codec


def format_line(second, host, event, **fields):
    stamp = f'2026-12-03T10:00:{second:06.3f}Z'
    plain = {'host': host, 'event': event, 'timestamp': stamp, **fields}
    return codec.to_json(plain).decode() + '\n'
