"""geventhttpclient's parser of HTTP responses alone.

Importing the package itself loads TLS, cookies and certificates: 9 MB.
"""

import sys
from importlib.machinery import PathFinder
from importlib.util import module_from_spec
from types import ModuleType

from willowpost.common.import_guard import blocked_imports

PACKAGE = "geventhttpclient"
MODULE = f"{PACKAGE}._parser"


def _load_parser() -> ModuleType:
    if MODULE in sys.modules:
        return sys.modules[MODULE]
    package = PathFinder.find_spec(PACKAGE)
    if package is None:
        raise ModuleNotFoundError(PACKAGE, name=PACKAGE)
    spec = PathFinder.find_spec(MODULE, package.submodule_search_locations)
    if spec is None or spec.loader is None:
        raise ModuleNotFoundError(MODULE, name=MODULE)
    with blocked_imports("ssl"):  # imported by http.client, whose exceptions it shares
        parser = module_from_spec(spec)
        spec.loader.exec_module(parser)
    return parser


_parser = _load_parser()
HTTPParseError = _parser.HTTPParseError
HTTPResponseParser = _parser.HTTPResponseParser
