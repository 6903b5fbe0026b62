"""Objects that live for one request: the decisions about it and the relay that forwards it."""
