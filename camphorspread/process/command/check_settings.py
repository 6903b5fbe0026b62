"""`camphorspread check-settings`: validate settings files without starting a process."""

from pathlib import Path

from returns.result import Failure, Success

from camphorspread.process.command.output import SUCCESS, print_faults
from camphorspread.process.settings import read_settings

__all__ = ["check_settings_files"]


def check_settings_files(paths: tuple[Path, ...]) -> int:
    """Print the faults of each file, if any; return the exit code."""
    code = SUCCESS
    for path in paths:
        match read_settings(path):
            case Failure(faults):
                code = print_faults(tuple(f"{path}: {fault}" for fault in faults))
            case Success():
                print(f"{path}: valid")
    return code
