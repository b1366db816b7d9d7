"""Admission by the services' rates."""

from dataclasses import dataclass

from willowpost.proxy.admission.admission_decision import AdmissionDecision
from willowpost.proxy.admission.quota import (
    base_quota_of,
    fencing_token_of,
    is_admitted_by_tokens,
)
from willowpost.proxy.admission.sliding_window import WINDOW_US, SlidingWindow
from willowpost.proxy.proxy_state import ProxyState


@dataclass(frozen=True, slots=True)
class ServiceWindow:
    """What this proxy may still send to a service.

    Attributes:
        sender_since: Since when this proxy is a sender of the service; None: all along.
        window: Over its quota.
    """

    sender_since: int | None
    window: SlidingWindow


class QuotaAdmission:
    """Admission by the services' rates; without a base quota or a grant nothing is admitted.

    Args:
        node_state: The proxy's shared state.
    """

    def __init__(self, node_state: ProxyState) -> None:
        self.node_state = node_state
        self.windows: dict[str, ServiceWindow] = {}  # by service

    def admit(self, service_name: str, now: int) -> AdmissionDecision:
        """Decides whether one more request may go to a service now (µs), and counts it."""
        node_state = self.node_state
        service = node_state.snapshot.services.get(service_name)
        node_state.demand[service_name] = node_state.demand.get(service_name, 0) + 1
        if service is None:
            return AdmissionDecision.REJECTED
        if is_admitted_by_tokens(service):
            return AdmissionDecision.NEEDS_TOKEN
        base_quota = base_quota_of(node_state, service, now)
        rate = base_quota + self._granted_rate(service_name, now)
        if rate <= 0:
            return AdmissionDecision.REJECTED
        window = self._window(service_name, base_quota, now)
        return AdmissionDecision.of(window.take(rate, now, service.is_limited_by_origins))

    def _granted_rate(self, service_name: str, now: int) -> float:
        """Returns the requests a second that the service's owner has granted."""
        grant = self.node_state.grants.get(service_name)
        if grant is None or now >= grant.expires_at:
            return 0.0
        is_current = grant.fencing_token == fencing_token_of(self.node_state, service_name)
        return grant.rate if is_current else 0.0

    def _window(self, service_name: str, base_quota: float, now: int) -> SlidingWindow:
        """Returns the service's window; a new one if this proxy has become its sender anew."""
        sender_since = self.node_state.sender_since.get(service_name)
        known = self.windows.get(service_name)
        if known is not None and known.sender_since == sender_since:
            return known.window
        since = self._unused_since(sender_since, now) if base_quota else now
        window = SlidingWindow(since, base_quota)
        self.windows[service_name] = ServiceWindow(sender_since, window)
        return window

    def _unused_since(self, sender_since: int | None, now: int) -> int:
        """Returns since when the base quota has been unused; other senders left it free by then.

        A proxy that becomes a sender, because the previous shields have gone, knows nothing of
        what they have used: its window begins empty.
        """
        warmed_up_since = self.node_state.warmed_up_since()
        since = now if warmed_up_since is None else min(now, warmed_up_since)
        if sender_since is not None:
            since = max(since, sender_since)
        return max(now - WINDOW_US, since)
