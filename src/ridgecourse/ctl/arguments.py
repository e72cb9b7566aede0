"""Command-line arguments of ``ridgecourse-ctl``.

A command consists of a noun, such as "service", and a verb, such as "place".
"""

from argparse import ArgumentParser, _SubParsersAction
from collections.abc import Sequence
from os import environ
from pathlib import Path
from typing import TypeAlias

from ridgecourse import __version__
from ridgecourse.ctl.publish import DEFAULT_CHUNK_BYTES

ENTRY_VARIABLE = "RIDGECOURSE_ENTRY"
TOKEN_VARIABLE = "RIDGECOURSE_TOKEN"  # noqa: S105

Subparsers: TypeAlias = "_SubParsersAction[ArgumentParser]"


def make_parser() -> ArgumentParser:
    """Return the argument parser with all nouns and verbs."""
    parser = ArgumentParser(
        prog="ridgecourse-ctl",
        description="Administer fleets, services, models, targets and accounts.",
        epilog="Exit codes: 0 success, 1 refused or failed, 2 usage error, "
        "3 outcome unknown (query with: change show ID).",
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--entry",
        default=environ.get(ENTRY_VARIABLE, "127.0.0.1:8000"),
        help=f"HOST:PORT of an entry (default: ${ENTRY_VARIABLE})",
    )
    parser.add_argument(
        "--token",
        default=environ.get(TOKEN_VARIABLE, ""),
        help=f"operator's token (default: ${TOKEN_VARIABLE})",
    )
    parser.add_argument("--json", action="store_true", help="print JSON only")
    parser.add_argument(
        "--check",
        action="store_true",
        help="validate the address of the entry and exit",
    )
    nouns = parser.add_subparsers(dest="noun", metavar="NOUN")
    add_fleet(nouns)
    add_service(nouns)
    add_model(nouns)
    add_target(nouns)
    add_account(nouns)
    add_change(nouns)
    return parser


def add_noun(nouns: Subparsers, name: str, help: str) -> Subparsers:
    """Add a noun and return the subparsers for its verbs."""
    noun = nouns.add_parser(name, help=help)
    return noun.add_subparsers(dest="verb", metavar="VERB", required=True)


def add_verb(
    verbs: Subparsers,
    name: str,
    help: str,
    positionals: Sequence[str],
    is_change: bool = True,
) -> ArgumentParser:
    """Add a verb and return its parser.

    Args:
        verbs: Subparsers of the noun.
        name: Name of the verb.
        help: Help text of the verb.
        positionals: Names of the positional arguments, in order.
        is_change: Whether the verb changes the configuration; if so, the parser gets
            the options of a change.
    """
    verb = verbs.add_parser(name, help=help)
    for positional in positionals:
        verb.add_argument(positional)
    if is_change:
        verb.add_argument(
            "--change-id",
            default="",
            help="id of the change; pass the same id to retry a change",
        )
        verb.add_argument(
            "--if-revision", type=int, help="revision that the object must have"
        )
        verb.add_argument(
            "--deadline", type=float, default=10.0, help="timeout in seconds"
        )
    return verb


def add_fleet(nouns: Subparsers) -> None:
    """Add the verbs for fleets."""
    verbs = add_noun(nouns, "fleet", "fleets of targets")
    create = add_verb(verbs, "create", "create or change a fleet", ["fleet"])
    create.add_argument("--origin-copies", type=int, default=1)
    add_verb(verbs, "show", "show a fleet's configuration", ["fleet"], is_change=False)


def add_service(nouns: Subparsers) -> None:
    """Add the verbs for services."""
    verbs = add_noun(nouns, "service", "services and their rollouts")
    service_positionals = ["fleet", "service"]
    create = add_verb(verbs, "create", "create a service", service_positionals)
    create.add_argument("--kind", choices=["model", "plain"], default="model")
    add_verb(
        verbs,
        "place",
        "serve a version",
        [*service_positionals, "model", "model_version"],
    )
    add_verb(
        verbs, "roll-back", "serve the previously placed version", service_positionals
    )
    add_verb(
        verbs,
        "abort",
        "stop a rollout without reverting completed targets",
        service_positionals,
    )
    traffic = add_verb(
        verbs, "traffic", "set the traffic weight of each domain", service_positionals
    )
    traffic.add_argument("weights", nargs="*", metavar="DOMAIN=WEIGHT")
    add_verb(
        verbs,
        "show",
        "show the progress of each target",
        service_positionals,
        is_change=False,
    )
    watch = add_verb(
        verbs,
        "watch",
        "follow a rollout until it is complete",
        service_positionals,
        is_change=False,
    )
    watch.add_argument(
        "--timeout", type=float, default=3600.0, help="timeout in seconds"
    )


def add_model(nouns: Subparsers) -> None:
    """Add the verbs for models."""
    verbs = add_noun(nouns, "model", "models and versions")
    publish = add_verb(
        verbs, "publish", "publish a version", ["fleet", "model", "model_version"]
    )
    publish.add_argument("--directory", type=Path, help="directory of weight files")
    publish.add_argument("--manifest", type=Path, help="existing manifest file")
    publish.add_argument("--origin-path", help="path of the version at the origin")
    publish.add_argument("--chunk-bytes", type=int, default=DEFAULT_CHUNK_BYTES)


def add_target(nouns: Subparsers) -> None:
    """Add the verbs for targets."""
    verbs = add_noun(nouns, "target", "targets of services")
    join = add_verb(verbs, "join", "add a target", ["fleet", "service", "target"])
    join.add_argument("--domain", required=True)
    join.add_argument(
        "--address", required=True, help="HOST:PORT of the agent's HTTP server"
    )
    join.add_argument(
        "--control", required=True, help="HOST:PORT of the agent's control server"
    )
    add_verb(verbs, "leave", "take a target out of service", ["fleet", "target"])


def add_account(nouns: Subparsers) -> None:
    """Add the verbs for client accounts."""
    verbs = add_noun(nouns, "account", "client accounts")
    put = add_verb(verbs, "put", "create or change an account", ["fleet", "account"])
    put.add_argument(
        "--key-digest", required=True, help="BLAKE3 digest of the account's key"
    )
    put.add_argument("--max-in-flight", type=int, default=0)
    put.add_argument("--priority", type=int, default=0)
    put.add_argument("--weight", type=int, default=1)


def add_change(nouns: Subparsers) -> None:
    """Add the verbs for changes."""
    verbs = add_noun(nouns, "change", "outcomes of changes")
    add_verb(
        verbs, "show", "show the outcome of a change", ["change_id"], is_change=False
    )
