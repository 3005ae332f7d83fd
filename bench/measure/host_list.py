"""Measures size and parsing time of a host list with 12,000 targets.

Run as ``python -m bench.measure.host_list``; it opens no sockets.
"""

import time

from godwitglade.common import codec
from godwitglade.decisions import host_list_reader
from godwitglade.platform import host_list

ZONES = 16
TARGETS_PER_ZONE = 750
POOLS = 35
SPILL_ZONES = 3
#: Request and response with headers when the list is unchanged.
UNCHANGED_BYTES = 330
ROUNDS = 5


def make_list(zones: int) -> bytes:
    """Return an encoded list of the targets in ``zones`` data centres."""
    entries = [
        {
            'name': f'target-{zone}-{number}',
            'role': 'target',
            'pool': f'pool-{number % POOLS}',
            'zone': f'zone-{zone}',
            'address': f'10.{zone}.{number // 250}.{number % 250}:8000',
            'state': 'live',
        }
        for zone in range(zones)
        for number in range(TARGETS_PER_ZONE)
    ]
    return codec.to_json({'hosts': entries})


def parse_ms(raw: bytes) -> float:
    """Return the mean processor time of parsing the list."""
    started_s = time.process_time()
    for _ in range(ROUNDS):
        host_list.parse_host_list(raw)
    return (time.process_time() - started_s) * 1_000 / ROUNDS


def main() -> None:
    """Print size, parsing time and traffic of reading by list and by zone."""
    full, zone_list = make_list(ZONES), make_list(1)
    for name, raw in (('whole list', full), ('one zone', zone_list)):
        print(f'{name}: {len(raw)} bytes, {parse_ms(raw):.1f} ms to parse')
    reads_per_s = 1_000 / host_list_reader.OWN_ZONE_INTERVAL_MS
    spill_per_s = SPILL_ZONES * 1_000 / host_list_reader.SPILL_ZONE_INTERVAL_MS
    print(f'whole list each time: {len(full) * reads_per_s / 1_000:.0f} KB/s')
    unchanged_kb_per_s = UNCHANGED_BYTES * (reads_per_s + spill_per_s) / 1_000
    print(f'by zone, nothing new: {unchanged_kb_per_s:.2f} KB/s')


if __name__ == '__main__':
    main()
