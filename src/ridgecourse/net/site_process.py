"""Base class of processes on a platform, with settings that may change at run time."""

from abc import ABC, abstractmethod

import eventlet
from returns.result import Failure, Result

from ridgecourse.core.problem import Problems
from ridgecourse.core.site import Site
from ridgecourse.net.events import EventKind, EventStream
from ridgecourse.net.process import Process
from ridgecourse.net.threads import spawn_loop

SETTINGS_POLL_SECONDS = 2.0
"""Interval between two checks of the settings, which may change without a signal. No
setting has to take effect sooner."""


class SettingsSource(ABC):
    """Source of the settings of a process."""

    @abstractmethod
    def has_changed(self) -> bool:
        """Check whether the settings differ from those that were last read."""

    @abstractmethod
    def read(self) -> Result[Site, Problems]:
        """Return the settings, or all problems of the settings."""


class SiteProcess(Process):
    """A process with settings of a site.

    Attributes:
        site: The settings in force.
        events: The event stream of the process.
        settings: Source of changed settings; None if the settings never change.
        settings_thread: Polls the source; None without a source.
    """

    def __init__(self, site: Site, events: EventStream) -> None:
        self.site = site
        self.events = events
        self.settings: SettingsSource | None = None
        self.settings_thread: eventlet.greenthread.GreenThread | None = None

    def watch_settings(self, settings: SettingsSource) -> None:
        """Start to apply changes of the settings."""
        self.settings = settings
        self.settings_thread = spawn_loop(self._poll_settings)

    def _poll_settings(self) -> None:
        while True:
            eventlet.sleep(SETTINGS_POLL_SECONDS)
            self.reload()

    def reload(self) -> None:
        """Apply changed settings, without an effect on work in progress.

        Invalid settings are reported, and the previous settings stay in force. Changed
        addresses and similar settings take effect at the next start.
        """
        if self.settings is None or not self.settings.has_changed():
            return
        loaded = self.settings.read()
        if isinstance(loaded, Failure):
            errors = "; ".join(map(str, loaded.failure()))
            self.events.emit(EventKind.BAD_INPUT, error=errors)
            return
        adopted, pending = self.site.apply_reloadable(loaded.unwrap())
        self.events.emit(EventKind.SETTINGS_CHANGED, adopted=adopted, pending=pending)
        self.apply_limits()

    @abstractmethod
    def apply_limits(self) -> None:
        """Apply the limits that operators have set in the current settings."""
