"""Versions of weights that operators name, and what engines hold of them."""

from msgspec import Struct

from ridgecourse.core.ids import ModelName, WeightsVersion

FIRST_VERSION = WeightsVersion(1)
"""The version in force before an operator names one."""


class NamedVersion(Struct, frozen=True):
    """The version of a model that is to be served.

    Attributes:
        model: The model.
        version: Its version.
    """

    model: ModelName
    version: WeightsVersion
