"""The command line of ``ridgecourse-ctl``."""

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
    """Return the parser of all verbs."""
    parser = ArgumentParser(
        prog="ridgecourse-ctl",
        description="Administer fleets, services, models, targets and accounts.",
        epilog="Exit codes: 0 done, 1 refused or failed, 2 wrong use, "
        "3 fate not known (ask with: change show ID).",
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
        "--check", action="store_true", help="check the address and exit"
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
    """Add a noun and return where its verbs go."""
    noun = nouns.add_parser(name, help=help)
    return noun.add_subparsers(dest="verb", metavar="VERB", required=True)


def add_verb(
    verbs: Subparsers,
    name: str,
    help: str,
    positionals: Sequence[str],
    change: bool = True,
) -> ArgumentParser:
    """Add a verb with its positional arguments."""
    verb = verbs.add_parser(name, help=help)
    for positional in positionals:
        verb.add_argument(positional)
    if change:
        verb.add_argument("--change-id", default="", help="repeat with the same id")
        verb.add_argument("--if-revision", type=int, help="revision it must have")
        verb.add_argument("--deadline", type=float, default=10.0, help="seconds")
    return verb


def add_fleet(nouns: Subparsers) -> None:
    """Add the verbs on fleets."""
    verbs = add_noun(nouns, "fleet", "fleets of targets")
    create = add_verb(verbs, "create", "create or change a fleet", ["fleet"])
    create.add_argument("--origin-copies", type=int, default=1)
    add_verb(verbs, "show", "show a fleet's configuration", ["fleet"], change=False)


def add_service(nouns: Subparsers) -> None:
    """Add the verbs on services."""
    verbs = add_noun(nouns, "service", "services and their rollouts")
    place = ["fleet", "service"]
    create = add_verb(verbs, "create", "create a service", place)
    create.add_argument("--kind", choices=["model", "plain"], default="model")
    add_verb(verbs, "place", "serve a version", [*place, "model", "model_version"])
    add_verb(verbs, "roll-back", "serve the version placed before", place)
    add_verb(verbs, "abort", "stop a rollout where it is", place)
    traffic = add_verb(verbs, "traffic", "set the share of each domain", place)
    traffic.add_argument("weights", nargs="*", metavar="DOMAIN=WEIGHT")
    add_verb(verbs, "show", "show progress of each target", place, change=False)
    watch = add_verb(verbs, "watch", "follow a rollout to its end", place, change=False)
    watch.add_argument("--timeout", type=float, default=3600.0, help="seconds")


def add_model(nouns: Subparsers) -> None:
    """Add the verbs on models."""
    verbs = add_noun(nouns, "model", "models and versions")
    publish = add_verb(
        verbs, "publish", "make a version known", ["fleet", "model", "model_version"]
    )
    publish.add_argument("--directory", type=Path, help="weight files to read")
    publish.add_argument("--manifest", type=Path, help="manifest made before")
    publish.add_argument("--origin-path", help="path at the origin")
    publish.add_argument("--chunk-bytes", type=int, default=DEFAULT_CHUNK_BYTES)


def add_target(nouns: Subparsers) -> None:
    """Add the verbs on targets."""
    verbs = add_noun(nouns, "target", "targets of services")
    join = add_verb(verbs, "join", "add a target", ["fleet", "service", "target"])
    join.add_argument("--domain", required=True)
    join.add_argument("--address", required=True, help="agent's HOST:PORT for HTTP")
    join.add_argument("--control", required=True, help="agent's HOST:PORT for control")
    add_verb(verbs, "leave", "take a target out of service", ["fleet", "target"])


def add_account(nouns: Subparsers) -> None:
    """Add the verbs on client accounts."""
    verbs = add_noun(nouns, "account", "client accounts")
    put = add_verb(verbs, "put", "create or change an account", ["fleet", "account"])
    put.add_argument("--key-digest", required=True, help="BLAKE3 of the account's key")
    put.add_argument("--max-in-flight", type=int, default=0)
    put.add_argument("--priority", type=int, default=0)
    put.add_argument("--weight", type=int, default=1)


def add_change(nouns: Subparsers) -> None:
    """Add the verbs on changes."""
    verbs = add_noun(nouns, "change", "fates of changes")
    add_verb(verbs, "show", "tell the fate of a change", ["change_id"], change=False)
