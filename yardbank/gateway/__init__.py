"""The gateway: an embeddable proxy instance that executes the decisions of the policy router."""

from yardbank.gateway.api import Call, Limits, Reply, ServerSpec, Sink
from yardbank.gateway.gateway import Gateway

__all__ = ["Call", "Gateway", "Limits", "Reply", "ServerSpec", "Sink"]
