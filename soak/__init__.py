"""A randomized fault soak that runs the real programs as separate processes on loopback."""
