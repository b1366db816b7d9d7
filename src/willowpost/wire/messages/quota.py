"""Messages between the proxies and the owner of a service's quota."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuotaShareRequest:
    """Requests a quota share from the owner of a service's quota.

    Attributes:
        nonce: repeated in the response.
        service: whose quota it is.
        fencing_token: of the owner, as the requester's tables have it.
        demand: how much the requester would use, in thousandths of a request per second.
    """

    nonce: int = 0
    service: str = ""
    fencing_token: int = 0
    demand: int = 0


@dataclass(frozen=True, slots=True)
class QuotaShareResponse:
    """Grants a quota share.

    Attributes:
        nonce: of the request.
        service: whose quota it is.
        fencing_token: of the owner.
        rate: in thousandths of a request per second.
    """

    nonce: int = 0
    service: str = ""
    fencing_token: int = 0
    rate: int = 0


@dataclass(frozen=True, slots=True)
class AdmissionTokenRequest:
    """Requests one admission token from a service's owner.

    Attributes:
        nonce: repeated in the response.
        service: whose token is wanted.
        fencing_token: of the owner, as the requester's tables have it.
        origin: the origin in slow start whose token is wanted; empty: the service's own.
    """

    nonce: int = 0
    service: str = ""
    fencing_token: int = 0
    origin: str = ""


@dataclass(frozen=True, slots=True)
class AdmissionTokenResponse:
    """The owner's response: whether the token is granted."""

    nonce: int = 0
    is_granted: bool = False
