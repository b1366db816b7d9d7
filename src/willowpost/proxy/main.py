"""The command `wpproxy`."""

import willowpost.shell.starting  # noqa: F401  before what takes long to import
from willowpost.proxy.daemon import ProxyDaemon
from willowpost.shell.process_settings import ProcessSettings
from willowpost.shell.program import DaemonCommand, run
from willowpost.shell.structured_log import StructuredLogger


class ProxyCommand(DaemonCommand):
    """The command line of the proxy process."""

    name = "wpproxy"
    description = "Takes requests: routes, admission, cache, shield, origin."
    help = """An edge takes the callers' requests; a shield stands between the edges and the \
origins.

  <info>wpproxy --settings edge-1.json</info>
  <info>wpproxy --name edge-1 --zone a --role edge --address 127.0.0.1:7201 \
--http 127.0.0.1:8080 --seeds 127.0.0.1:7001,127.0.0.1:7002</info>
  <info>curl http://127.0.0.1:8080/.wp/health</info>"""
    needs = ("http",)

    def build(self, settings: ProcessSettings, logger: StructuredLogger) -> ProxyDaemon:
        """Returns the daemon for these settings."""
        return ProxyDaemon(settings, logger)


def main() -> None:
    """Runs the command `wpproxy`."""
    run(ProxyCommand())
