"""Measures what clients lose when an entry is stopped again and again under load."""

from argparse import ArgumentParser
from collections import Counter

from bench.result import print_result
from ridgecourse_standins.closed_loop import ClosedLoop, Reply
from ridgecourse_standins.cluster import FLEET, PLAIN_SERVICE, Cluster, Node, Plan

PLAN = Plan(domains=("a",), entries=1, targets=0, plain=1)
REQUESTS_BEFORE_STOP = 200


def make_request(key: str) -> bytes:
    """Return a request to the plain service."""
    body = b"order"
    lines = [
        f"POST /v1/{FLEET}/{PLAIN_SERVICE} HTTP/1.1",
        "Host: entry",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def stop_once(node: Node, request: bytes, clients: int) -> list[Reply]:
    """Stop an entry under load and start it again; return the replies."""
    host, _, port = node.http.rpartition(":")
    loop = ClosedLoop(
        (host, int(port)), lambda: request, clients // 2, clients - clients // 2
    )
    loop.start()
    while len(loop.replies) < REQUESTS_BEFORE_STOP:
        loop.stopped.wait(0.01)
    if node.managed.stop() != 0:
        raise SystemExit(f"{node.managed.name} failed: {node.managed.log_tail()}")
    loop.wait()
    readies = sum(event["kind"] == "ready" for event in node.managed.events())
    node.managed.start()
    node.managed.wait_event("ready", after=readies)
    return loop.replies


def main(arguments: list[str]) -> int:
    """Run the benchmark and print the result."""
    parser = ArgumentParser(prog="python -m bench stops", description=__doc__)
    parser.add_argument("--stops", type=int, default=100)
    parser.add_argument("--clients", type=int, default=24)
    options = parser.parse_args(arguments)
    counts: Counter[str] = Counter()
    with Cluster(PLAN) as cluster:
        cluster.set_up()
        request = make_request(cluster.create_account("shop"))
        cluster.wait_ready()
        node = cluster.entries[0]
        for _ in range(options.stops):
            for reply in stop_once(node, request, options.clients):
                counts["requests"] += 1
                counts["cut"] += bool(reply.error)
                counts["cut_on_new_connection"] += bool(reply.error and not reply.kept)
                counts["not_run"] += (
                    reply.headers.get("ridgecourse-outcome") == "not-run"
                )
    print_result({"stops": options.stops, "clients": options.clients, **counts})
    return 0
