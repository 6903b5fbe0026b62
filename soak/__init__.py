"""Randomized soak test that injects faults into the real processes on loopback."""
