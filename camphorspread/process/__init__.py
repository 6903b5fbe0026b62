"""What lives for a process: clock, settings, registries, membership and node shells."""
