"""Converters for single arguments; their error messages state the allowed values."""

import argparse
import ipaddress
import math

from camphorspread.connection.network import Address
from camphorspread.process.load import parse_template

__all__ = [
    "bounded_float",
    "bounded_int",
    "convert_address",
    "convert_ip_address",
    "convert_template",
]


def convert_address(text: str) -> Address:
    """Convert an argument `IP:PORT`."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        return Address(host, bounded_int(1, 65535)(port))
    except ValueError as exc:
        raise argparse.ArgumentTypeError(f"{text!r}; allowed: IP:PORT") from exc


def convert_ip_address(text: str) -> str:
    """Check that an argument is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError as exc:
        raise argparse.ArgumentTypeError(f"{text!r}; allowed: an IP address") from exc
    return text


def bounded_int(low: int, high: int):
    """Return a converter for whole numbers from `low` to `high`, both included."""

    def convert_number(text: str) -> int:
        try:
            value = int(text)
        except ValueError as exc:
            raise argparse.ArgumentTypeError(f"{text!r}; allowed: {low} to {high}") from exc
        if not low <= value <= high:
            raise argparse.ArgumentTypeError(f"{value}; allowed: {low} to {high}")
        return value

    return convert_number


def bounded_float(high: float):
    """Return a converter for numbers over 0 and up to `high`."""

    def convert_number(text: str) -> float:
        try:
            value = float(text)
        except ValueError as exc:
            raise argparse.ArgumentTypeError(f"{text!r}; allowed: a number") from exc
        if not (math.isfinite(value) and 0 < value <= high):
            raise argparse.ArgumentTypeError(f"{text}; allowed: over 0, up to {high:g}")
        return value

    return convert_number


def convert_template(text: str):
    """Convert a request template."""
    try:
        return parse_template(text)
    except ValueError as exc:
        raise argparse.ArgumentTypeError(str(exc)) from exc
