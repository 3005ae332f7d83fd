"""Entry point of the ``godwitglade`` program."""

import os
import sys

from godwitglade.command import core
from godwitglade.command import environment


def main() -> None:
    """Run the command on the process's streams and exit with its status."""
    env = environment.Environment(environ=os.environ)
    sys.exit(int(core.main(sys.argv[1:], env)))


if __name__ == '__main__':
    main()
