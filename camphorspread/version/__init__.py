"""Objects that live for a catalogue version: entries, changes, replicated log and shares."""
