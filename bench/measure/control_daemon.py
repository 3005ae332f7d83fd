"""A daemon that prints its peer traffic on exit.

Takes the arguments of ``godwitgladed``; the last line on standard output is
a JSON object.
"""

import json
import sys
import time

import attrs

from godwitglade.daemon import context
from godwitglade.daemon import core
from godwitglade.peers import traffic


def main() -> int:
    """Run the daemon; return its exit status."""
    instances = []
    started_s = time.monotonic()

    @attrs.define
    class RecordedTraffic(traffic.Traffic):
        def __attrs_post_init__(self) -> None:
            instances.append(self)

    traffic.Traffic = RecordedTraffic
    status = core.main(sys.argv[1:], context.Environment())
    for instance in instances:
        fields = {
            'sent_bytes': instance.sent_bytes,
            'received_bytes': instance.received_bytes,
            'alive_s': time.monotonic() - started_s,
            'message_count': instance.message_count,
        }
        print(json.dumps(fields), flush=True)
    return status


if __name__ == '__main__':
    sys.exit(main())
