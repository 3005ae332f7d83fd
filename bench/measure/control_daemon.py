"""A daemon that prints its peers' traffic when it stops.

Run like ``godwitgladed``; the last line on standard output is JSON.
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
    counted = []
    started_s = time.monotonic()

    @attrs.define
    class Recorded(traffic.Traffic):
        def __attrs_post_init__(self) -> None:
            counted.append(self)

    traffic.Traffic = Recorded
    status = core.main(sys.argv[1:], context.Environment())
    for one in counted:
        fields = {
            'sent_bytes': one.sent_bytes,
            'received_bytes': one.received_bytes,
            'alive_s': time.monotonic() - started_s,
            'message_count': one.message_count,
        }
        print(json.dumps(fields), flush=True)
    return status


if __name__ == '__main__':
    sys.exit(main())
