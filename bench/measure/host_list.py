"""Bytes and processor time of reading the host list at the letter's size.

Run as ``python -m bench.measure.host_list``; no sockets are opened.
"""

import time

from godwitglade.common import codec
from godwitglade.decisions import listing
from godwitglade.platform import host_list

ZONES = 16
TARGETS_PER_ZONE = 750
POOLS = 35
SPILL_ZONES = 3
#: Request and answer of a reading that finds nothing new, with headers.
UNCHANGED_BYTES = 330
ROUNDS = 5


def make_list(zones: int) -> bytes:
    """Return a list with the targets of ``zones`` data centres."""
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
    """Return the processor time of parsing the list once."""
    started_s = time.process_time()
    for _ in range(ROUNDS):
        host_list.parse_host_list(raw)
    return (time.process_time() - started_s) * 1_000 / ROUNDS


def main() -> None:
    """Print size and parsing time, and what each way of reading costs."""
    whole, one_zone = make_list(ZONES), make_list(1)
    for name, raw in (('whole list', whole), ('one zone', one_zone)):
        print(f'{name}: {len(raw)} bytes, {parse_ms(raw):.1f} ms to parse')
    reads_per_s = 1_000 / listing.OWN_ZONE_MS
    spill_per_s = SPILL_ZONES * 1_000 / listing.SPILL_ZONE_MS
    print(f'whole list each time: {len(whole) * reads_per_s / 1_000:.0f} KB/s')
    at_rest = UNCHANGED_BYTES * (reads_per_s + spill_per_s) / 1_000
    print(f'by zone, nothing new: {at_rest:.2f} KB/s')


if __name__ == '__main__':
    main()
