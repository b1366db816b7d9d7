"""Offline tools: check and replay a store's folder, and plan changes (used by the registry too)."""
