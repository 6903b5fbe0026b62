"""What lives for one request: decisions about it and the relay that carries it."""
