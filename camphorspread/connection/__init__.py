"""Connection scope: HTTP client and server, pools, limits and JSON calls between processes."""
