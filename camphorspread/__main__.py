"""Entry point of the one program; see `camphorspread.process.command`."""

import sys

from camphorspread.process.clock import SystemClock

__all__ = ["main"]

PLATFORM_NODE = ["platform-node"]


def main() -> None:
    """Run the command line and exit with its code.

    The commands of operators take as long to import as a whole node, which must start quickly.
    """
    if sys.argv[1:] == PLATFORM_NODE:
        # Taken before the imports, which take a good part of the start.
        started = SystemClock().monotonic()
        from camphorspread.platform.run import run_platform_node

        sys.exit(run_platform_node(started))
    from camphorspread.process.command import run_command

    sys.exit(run_command(sys.argv[1:]))


if __name__ == "__main__":
    main()
