"""Builds the executable: `python -m tools.binary OUTPUT`."""

import sys

from tools.binary import build

if __name__ == '__main__':
    build.build_binary(sys.argv[1])
