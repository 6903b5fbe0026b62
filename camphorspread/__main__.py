"""Entry point of the one program; see `camphorspread.process.command`."""

import sys

from camphorspread.process.command import run_command

__all__ = ["main"]


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(run_command(sys.argv[1:]))


if __name__ == "__main__":
    main()
