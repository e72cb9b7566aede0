"""Sample settings, configurations and engine entries in the format of the platform."""

from typing import Any

from ridgecourse_standins.ports import LAST_PORT, free_address, free_port

HOST = "shop.example"
KEY = "key-of-shop"
MODEL = "m0"
LAYERS = 16
LARGE_ROUTES = 1960


def make_route(
    prefix: str, route_type: str, service: str, **overrides: Any
) -> dict[str, Any]:
    """Return a route of ``HOST``; ``overrides`` replace or add fields."""
    route = {
        "name": f"route{prefix}",
        "hostname": HOST,
        "path_prefix": prefix,
        "type": route_type,
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
    }
    return {**route, **overrides}


def make_config(version: int = 1, **overrides: Any) -> dict[str, Any]:
    """Return a configuration with a model service, 2 plain services and an origin.

    Args:
        version: Version of the configuration.
        overrides: Fields that are replaced or added.
    """
    engine = {
        "slots": 16,
        "kv_capacity_tokens": 317000,
        "models": [{"name": MODEL}],
        "step_ms": 9.3,
        "per_seq_ms": 0.02,
        "context_per_k": 0.03,
        "read_per_s": 20700,
        "pairs_per_m": 1.18,
        "usual": {"prompt": 900, "answer": 90},
        "layers": LAYERS,
        "chunks": 96,
        "chunk_bytes": 24576,
    }
    config = {
        "version": version,
        "routes": [
            make_route("/stream/", "streaming", "llm", timeout_ms=8000, resumable=True),
            make_route("/once-stream/", "streaming", "llm"),
            make_route("/once/", "unsafe", "app", max_attempts=1),
            make_route("/safe/", "safe", "app"),
            make_route("/safe/deep/", "safe", "other"),
            make_route("/open/", "safe", "app", public=True),
            make_route("/short/", "safe", "app", timeout_ms=300),
        ],
        "services": [
            {"name": "llm", "health_path": "/healthz", "engine": engine},
            {"name": "app", "health_path": "/healthz"},
            {"name": "other", "health_path": "/healthz"},
            {"name": "kafi", "origin": "127.0.0.1:1", "zone": "a"},
        ],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 1500,
        },
        "tenants": [{"name": "shop", "api_keys": [KEY]}],
    }
    return {**config, **overrides}


def make_large_config(version: int) -> dict[str, Any]:
    """Return a configuration whose transfer takes 1 s on a slow link."""
    config = make_config(version)
    idle = [
        make_route(f"/idle-{number}/", "safe", "app") for number in range(LARGE_ROUTES)
    ]
    config["routes"].extend(idle)
    return config


def make_settings(store: str, **overrides: Any) -> dict[str, Any]:
    """Return the settings of a gateway on a free port.

    Args:
        store: Address of the store.
        overrides: Fields that are replaced or added.
    """
    settings = {
        "node_name": "edge-a-1",
        "ip": "127.0.0.1",
        "zone": "a",
        "zones": {"a": "north", "b": "south"},
        "listen": {"frontend": free_address(), "readiness": free_address()},
        "internal_port_range": [free_port(), LAST_PORT],
        "seed_nodes": [],
        "limits": {"bandwidth_mbps": 1000.0},
        "bounds": {
            "grace_s": 8,
            "drain_ms": 2000,
            "config_apply_ms": 2000,
            "version_ms": 8000,
            "reuse_after_s": 2,
            "retry_budget_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 100,
        },
        "platform": {"address": store},
        "a field of later days": True,
    }
    return {**settings, **overrides}


def make_engine_entry(address: str, zone: str, **overrides: Any) -> dict[str, Any]:
    """Return the entry of an engine that serves version 1.

    Args:
        address: Address of the engine.
        zone: Zone of the engine.
        overrides: Fields that are replaced or added.
    """
    entry = {
        "service": "llm",
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": 16,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "models": [{"name": MODEL, "version": 1, "adapters": []}],
        "layers": {"from": 0, "target_version": LAYERS, "version": 1},
    }
    return {**entry, **overrides}
