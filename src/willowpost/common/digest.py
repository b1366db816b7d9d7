"""BLAKE2 as the interpreter brings it.

hashlib alone would load OpenSSL too: 3.7 MB in each process, for nothing.
"""

try:
    from _blake2 import blake2b
except ImportError:
    from hashlib import blake2b

__all__ = ["blake2b"]
