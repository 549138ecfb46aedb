"""The view of gossip for operators, as plain values. No I/O; ages in milliseconds."""

from __future__ import annotations

from typing import Any

from yardbank.cluster.peers.node import GossipNode
from yardbank.cluster.peers.outlier_consensus import OutlierConsensus
from yardbank.cluster.peers.report_store import KIND_NAMES

MS = 1_000_000


def node_view(node: GossipNode, consensus: OutlierConsensus, now: int) -> dict[str, Any]:
    """Peers, health reports on servers, counters, and the views of the parts."""
    detector = node.detector
    reports = node.report_store
    return {
        "name": node.name,
        "fleet": node.fleet,
        "life": detector.boot_epoch,
        "incarnation": detector.incarnation,
        "slowness": detector.slowness,
        "dropped": dict(node.dropped),
        "peers": {
            seen.name: {
                "state": seen.state,
                "incarnation": seen.incarnation,
                "changed_ms": seen.changed // MS,
                "heard_ms": None if seen.heard is None else seen.heard // MS,
            }
            for seen in node.view(now)
        },
        "servers": {
            server: {
                "doubted_ms": max(0, consensus.outliers.get(server, now) - now) // MS,
                "words": {
                    witness: {"kind": KIND_NAMES[stored.report.kind], "age_ms": stored.age(now) // MS}
                    for witness, stored in reports.reports_on(server).items()
                },
            }
            for server in reports.servers()
        },
        "totals": {
            key: {
                "value": total.value,
                "parts": total.contributors,
                "missing": total.missing,
                "oldest_ms": total.oldest // MS,
            }
            for key, total in node.totals(now).items()
        },
        "parts": {topic: part.view(now) for topic, part in node.outbox.parts.items()},
    }
