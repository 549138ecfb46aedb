"""The library: a gateway that carries out what the decision module decides."""

from yardbank.gateway.api import Call, Limits, Reply, ServerSpec, Sink
from yardbank.gateway.gateway import Gateway

__all__ = ["Call", "Gateway", "Limits", "Reply", "ServerSpec", "Sink"]
