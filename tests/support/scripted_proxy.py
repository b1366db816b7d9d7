"""A served proxy whose sealed origins are scripted byte for byte, with a route of each kind."""

import unittest

from tests.support.served import ScriptedOrigin, ServedProxy, answer

CONFIGURATION = {
    "services": {"g": {"rate": 1000, "named": True, "sealed": True}},
    "settings": {"service": "g", "tries": 2, "deadline_ms": 2000},
    "branches": {
        "once": {"host": "h.example", "path": "/once/", "settings": {"kind": "once"}},
        "again": {"host": "h.example", "path": "/again/", "settings": {"kind": "repeatable"}},
        "home": {
            "host": "h.example",
            "path": "/home/",
            "settings": {"kind": "kept", "keep_seconds": 60, "homes": ["here"]},
        },
        "kept": {
            "host": "h.example",
            "path": "/kept/",
            "settings": {"kind": "kept", "keep_seconds": 60},
        },
    },
}


def sealed(body=b"ok", status="200 OK", name="n1", **headers):
    return answer(body, status, wp_request=name, wp_seal="s", **headers)


def head(request, name):
    return request.lower().split(name.lower() + b": ")[1].split(b"\r\n")[0].decode()


def echoed(request):
    """An answer that names its own request, in its id and in its body."""
    return sealed(request.split(b" ")[1], name=head(request, b"wp-request"))


class Scripted(unittest.TestCase):
    def served(self, *scripts, **settings):
        self.origins = [ScriptedOrigin(*script) for script in scripts]
        self.proxy = ServedProxy(*self.origins, configuration=CONFIGURATION)
        self.addCleanup(self.proxy.stop)
        self.proxy.set_origins(
            self.origins, **{"checks_incarnation": True, "requires_seal": True, **settings}
        )
        return self.proxy

    def asked(self):
        return [request for origin in self.origins for request in origin.requests]
