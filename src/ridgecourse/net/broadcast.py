"""Waking all that wait for a change."""

from eventlet.event import Event as Signal


class Broadcast:
    """Lets any number of green threads wait for the next change."""

    def __init__(self) -> None:
        self.signal = Signal()

    def notify(self) -> None:
        """Wake all that wait now."""
        signal, self.signal = self.signal, Signal()
        signal.send(True)

    def wait(self, seconds: float | None = None) -> bool:
        """Wait for the next ``notify``; tell whether it came in time."""
        return bool(self.signal.wait(seconds))
