"""The shared cache (RFC 9111): entries, what may be stored, byte ranges and purges."""
