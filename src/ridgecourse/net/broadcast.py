"""A notification that wakes all green threads that wait for a change."""

from eventlet.event import Event as Signal


class Broadcast:
    """Wakes any number of green threads at the next change."""

    def __init__(self) -> None:
        self.signal = Signal()

    def notify(self) -> None:
        """Wake all green threads that are waiting."""
        signal, self.signal = self.signal, Signal()
        signal.send(True)

    def wait(self, seconds: float | None = None) -> bool:
        """Wait for the next call of ``notify``.

        Args:
            seconds: Longest wait; None for no limit.

        Returns:
            Whether ``notify`` was called before the time ran out.
        """
        return bool(self.signal.wait(seconds))
