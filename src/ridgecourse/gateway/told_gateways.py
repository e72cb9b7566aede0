"""The gateways that connected loaders tell of."""

from collections.abc import Iterable

from ridgecourse.core.hubs import Peer
from ridgecourse.core.ids import TargetName


class ToldGateways:
    """Gateways by the loader that told of them.

    Attributes:
        by_loader: By the loader's address, then by name; empty for a loader that is
            connected and tells of none.
    """

    def __init__(self) -> None:
        self.by_loader: dict[str, dict[TargetName, Peer]] = {}

    def __contains__(self, loader: str) -> bool:
        """Tell whether a loader is connected."""
        return loader in self.by_loader

    def learn(
        self, loader: str, came: Iterable[Peer], gone: Iterable[TargetName]
    ) -> None:
        """Take in a loader that is connected, and which gateways came and went."""
        told = self.by_loader.setdefault(loader, {})
        told.update((peer.name, peer) for peer in came)
        for name in gone:
            told.pop(name, None)

    def forget(self, loader: str) -> None:
        """Drop what a loader told, which is lost or will tell it anew."""
        self.by_loader.pop(loader, None)

    def known(self) -> list[Peer]:
        """Return all gateways, each once."""
        by_name = {
            gateway.name: gateway
            for told in self.by_loader.values()
            for gateway in told.values()
        }
        return list(by_name.values())

    def has_neighbour(self, me: Peer) -> bool:
        """Tell whether there is another gateway in a gateway's domain."""
        return any(
            gateway.domain == me.domain and gateway != me for gateway in self.known()
        )
