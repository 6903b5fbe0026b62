"""The major version of messages between own processes, of log entries and of snapshots."""

__all__ = ["FORMAT", "FormatError", "check_format"]

# A new field doesn't change it, because readers ignore fields that they don't know. It grows when
# an old reader would act wrongly on what a new program writes.
FORMAT = 1


class FormatError(ValueError):
    """Something was written in another major version of the format.

    Attributes:
        given: The version that it states.
    """

    def __init__(self, given: object) -> None:
        """Keep the version."""
        super().__init__(f"format version {given}; this program reads version {FORMAT}")
        self.given = given


def check_format(given: object) -> None:
    """Check a stated version; None counts as 1, which was written before versions were stated.

    Raises:
        FormatError: It is another one.
    """
    if (1 if given is None else given) != FORMAT:
        raise FormatError(given)
