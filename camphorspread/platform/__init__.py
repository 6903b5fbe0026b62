"""Adapter for the Vodna Vrazka platform: decodes its messages into the product's own types."""
