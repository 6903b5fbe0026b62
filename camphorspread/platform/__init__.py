"""Adapter to the Vodna Vrazka platform: decodes its messages into types of the product."""
