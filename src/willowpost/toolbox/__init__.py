"""Offline checks of a store's data folder, log replay, and previews of operators' changes."""
