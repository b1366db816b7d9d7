"""The kinds of faults that the fleet's schedules draw from, by what they hit."""
