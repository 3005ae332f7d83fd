"""Entry point of ``godwitgladed``."""

import sys

from godwitglade.daemon import context
from godwitglade.daemon import core


def main() -> None:
    """Run the daemon and end the process with its exit status."""
    sys.exit(core.main(sys.argv[1:], context.Environment()))


if __name__ == '__main__':
    main()
