"""Major format version of messages between own processes, log entries and snapshots."""

__all__ = ["FORMAT", "FormatError", "check_format"]

# A new field doesn't change the version, because readers ignore unknown fields. The version grows
# when an old reader would misinterpret what a new program writes.
FORMAT = 1


class FormatError(ValueError):
    """Data has an unsupported major version of the format.

    Attributes:
        given: The stated version.
    """

    def __init__(self, given: object) -> None:
        """Create the error for a stated version."""
        super().__init__(f"format version {given}; this program reads version {FORMAT}")
        self.given = given


def check_format(given: object) -> None:
    """Check a stated version; None counts as 1, because early data states no version.

    Raises:
        FormatError: The version isn't supported.
    """
    if (1 if given is None else given) != FORMAT:
        raise FormatError(given)
