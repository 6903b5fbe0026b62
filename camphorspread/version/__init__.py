"""What lives for a catalogue version: entries, changes, the replicated log and shares."""
