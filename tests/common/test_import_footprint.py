"""What a daemon loads when it is imported; memory on small machines has its price."""

import json
import subprocess
import sys
import unittest

FORBIDDEN_MODULES = {  # entry -> what it must not load
    "willowpost.store.daemon": {
        "pydantic",
        "cleo",
        "yaml",
        "ssl",
        "asyncio",
        "email",
        "_hashlib",
        "geventhttpclient",
        "gevent.pywsgi",
    },
    "willowpost.proxy.daemon": {
        "pydantic",
        "cleo",
        "yaml",
        "asyncio",
        "ssl",
        "_hashlib",
        "geventhttpclient",
    },
    "willowpost.registry.daemon": {"cleo", "yaml", "asyncio", "ssl", "geventhttpclient"},
}


class Imports(unittest.TestCase):
    def test_each_daemon_leaves_out_what_it_does_not_need(self):
        for entry, forbidden in FORBIDDEN_MODULES.items():
            code = f"import json, sys, {entry}; print(json.dumps(sorted(sys.modules)))"
            loaded = json.loads(
                subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout
            )
            self.assertIn(entry, loaded)
            self.assertEqual(set(), forbidden & set(loaded), entry)

    def test_the_parser_alone_is_the_librarys_own(self):
        code = """import sys
from willowpost.shell.http_parser import HTTPParseError, HTTPResponseParser
assert "ssl" not in sys.modules and "geventhttpclient" not in sys.modules
from geventhttpclient.response import HTTPParseError as theirs, HTTPResponse
assert theirs is HTTPParseError and issubclass(HTTPResponse, HTTPResponseParser)"""
        subprocess.run([sys.executable, "-c", code], check=True)


if __name__ == "__main__":
    unittest.main()
