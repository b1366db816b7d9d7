"""The names of headers shared by proxies, callers and origins; a platform may set others."""

from dataclasses import astuple, dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, all in lower case.

    Attributes:
        request_id: The caller's id of one request; origins echo it.
        remaining_time: Milliseconds that the caller still waits.
        incarnation: The origin's incarnation that a request is meant for; any other answers 421
            (RFC 9110, 15.5.20) and does not run it.
        seal: On responses of a sealed service: a success without it is no valid response.
        not_run: The origin has not run the request and never will.
        load: The origin's load: running, waiting and slots, joined by commas.
        cache_tags: Tags of a response for purges by tag, separated by spaces.
    """

    request_id: str = "wp-request"
    remaining_time: str = "wp-left"
    incarnation: str = "wp-incarnation"
    seal: str = "wp-seal"
    not_run: str = "wp-not-run"
    load: str = "wp-load"
    cache_tags: str = "wp-tags"

    def all_names(self) -> frozenset[str]:
        """Returns all names."""
        return frozenset(astuple(self))


DEFAULT_HEADER_NAMES = HeaderNames()
