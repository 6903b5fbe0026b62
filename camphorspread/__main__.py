"""Entry point of the program; see `camphorspread.process.command`."""

import sys

from camphorspread.process.clock import SystemClock

__all__ = ["main"]

PLATFORM_NODE_ARGUMENTS = ["platform-node"]


def main() -> None:
    """Run the command line and exit with its code.

    Importing the operators' commands takes as long as importing a whole node. A node must start
    quickly, so its arguments are compared before those imports.
    """
    if sys.argv[1:] == PLATFORM_NODE_ARGUMENTS:
        # Measured before the imports, which take a large part of the start time.
        started = SystemClock().monotonic()
        from camphorspread.platform.run import run_platform_node

        sys.exit(run_platform_node(started))
    from camphorspread.process.command import run_command

    sys.exit(run_command(sys.argv[1:]))


if __name__ == "__main__":
    main()
