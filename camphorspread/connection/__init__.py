"""What lives for one connection: HTTP on both sides, pools, limits and peer links."""
