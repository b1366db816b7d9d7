"""geventhttpclient's parser of answers alone.

The package's own start loads TLS, cookies and certificates: 9 MB.
"""

import sys
from importlib.machinery import ModuleSpec, PathFinder
from importlib.util import module_from_spec

from willowpost.common.import_guard import blocked_imports

NAME = "geventhttpclient._parser"


def _load():
    if NAME in sys.modules:
        return sys.modules[NAME]
    package = PathFinder.find_spec("geventhttpclient")
    spec: ModuleSpec = PathFinder.find_spec(NAME, package.submodule_search_locations)
    with blocked_imports("ssl"):  # by way of http.client, whose exceptions it shares
        parser = module_from_spec(spec)
        spec.loader.exec_module(parser)
    return parser


_parser = _load()
HTTPParseError = _parser.HTTPParseError
HTTPResponseParser = _parser.HTTPResponseParser
