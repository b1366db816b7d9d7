"""The soak: a fleet of real processes under seeded troubles that overlap, judged from outside."""
