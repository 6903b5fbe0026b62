"""Global traffic steering across availability zones and regions."""

__all__ = ["__version__"]

__version__ = "0.1.0"
