"""The names of headers shared by proxies, callers and origins; the platform may set others."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Words:
    """Header names, all in lower case.

    Attributes:
        request: The caller's id of one try; origins echo it.
        left: Milliseconds that the caller still waits.
        incarnation: Names the origin's incarnation that a request is meant for; any other answers
            421 and does not run it.
        seal: On responses of a sealed service: a success without it is no valid response.
        not_run: The origin has not run the request and never will.
        load: The origin's load: running, waiting and slots, joined by commas.
        tags: Tags of a response for purges by tag, separated by spaces.
    """

    request: str = "wp-request"
    left: str = "wp-left"
    incarnation: str = "wp-incarnation"
    seal: str = "wp-seal"
    not_run: str = "wp-not-run"
    load: str = "wp-load"
    tags: str = "wp-tags"

    def names(self) -> frozenset:
        """All names."""
        return frozenset(
            (
                self.request,
                self.left,
                self.incarnation,
                self.seal,
                self.not_run,
                self.load,
                self.tags,
            )
        )
