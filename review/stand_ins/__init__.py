"""Stand-ins for clients, endpoints, the operator and the platform, for the scripts of a review."""
