"""A process of a platform, whose settings may change while it runs."""

from abc import ABC, abstractmethod

import eventlet
from returns.result import Failure, Result

from ridgecourse.core.finding import Findings
from ridgecourse.core.site import Site
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.process import Process
from ridgecourse.net.threads import spawn_loop

POLL_SECONDS = 2.0
"""Between two looks at the settings, which may change without a signal. Nothing in
them binds a process to less."""


class SettingsSource(ABC):
    """Where a process's settings come from."""

    @abstractmethod
    def changed(self) -> bool:
        """Tell whether they differ from what was read last."""

    @abstractmethod
    def read(self) -> Result[Site, Findings]:
        """Return them, or everything that is wrong with them."""


class SiteProcess(Process):
    """A process with settings of a site.

    Attributes:
        site: The settings in force.
        settings: Where they are read anew; None if they never change.
    """

    def __init__(self, site: Site, events: EventStream) -> None:
        self.site = site
        self.events = events
        self.settings: SettingsSource | None = None
        self.settings_thread: eventlet.greenthread.GreenThread | None = None

    def watch_settings(self, settings: SettingsSource) -> None:
        """Take in changes of the settings from now on."""
        self.settings = settings
        self.settings_thread = spawn_loop(self._watch)

    def _watch(self) -> None:
        while True:
            eventlet.sleep(POLL_SECONDS)
            self.reload()

    def reload(self) -> None:
        """Take in what changed; nothing in progress is touched.

        Settings that do not fit leave those in force. Of those that do, addresses
        and the like take effect at the next start.
        """
        if self.settings is None or not self.settings.changed():
            return
        read = self.settings.read()
        if isinstance(read, Failure):
            errors = "; ".join(map(str, read.failure()))
            self.events.emit(EventKind.BAD_INPUT, error=errors)
            return
        adopted, pending = self.site.adopt(read.unwrap())
        self.events.emit(EventKind.SETTINGS_CHANGED, adopted=adopted, pending=pending)
        self.take_bounds()

    @abstractmethod
    def take_bounds(self) -> None:
        """Use the operators' limits as they stand in the settings now."""
