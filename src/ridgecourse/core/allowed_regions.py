"""Restrict requests to the regions that their route and client account allow.

The restriction is taken from the configuration in force when a request is sent. A
request that waits or is retried while the configuration changes is subject to each
configuration since its arrival, so that a change can only narrow the restriction.
"""

from collections.abc import Mapping

from msgspec import Struct

from ridgecourse.core.eligibility import (
    Constraint,
    Exclusion,
    ExclusionReason,
    TargetRequirements,
)
from ridgecourse.core.ids import AccountName, DomainName, RegionName, Seconds
from ridgecourse.core.routes import Account, AllowedRegions, Route, RoutingConfig
from ridgecourse.core.site import Site
from ridgecourse.core.target_list import ListedTarget


class RequestOrigin(Struct, frozen=True):
    """What identifies the route and the client account of a request.

    Attributes:
        host: Host of the request.
        path: Path of the request, without its query.
        key: API key; empty if the client sent none.
        account: Client account that the request is charged to; None for none.
    """

    host: str
    path: str
    key: str
    account: AccountName | None


class RegionRestriction:
    """The restriction of one request by all configurations since its arrival.

    Attributes:
        origin: Identifies the request's route and account.
        regions: The only regions in which the request may be served; None for no
            restriction.
        config: The configuration that was applied last.
    """

    def __init__(self, origin: RequestOrigin) -> None:
        self.origin = origin
        self.regions: AllowedRegions = None
        self.config: RoutingConfig | None = None

    def apply(self, config: RoutingConfig) -> None:
        """Apply the restriction of a configuration, unless it was applied last.

        Args:
            config: The configuration in force.
        """
        if config is not self.config:
            route = config.find_route(self.origin.host, self.origin.path)
            self.apply_route(config, route)

    def apply_route(self, config: RoutingConfig, route: Route | None) -> None:
        """Apply the restriction of a configuration whose route is known already.

        Args:
            config: The configuration in force.
            route: The route of the request in the configuration; None for none.
        """
        self.config = config
        if route is not None:
            self.regions = intersect_regions(self.regions, route.allowed_regions)
        account = find_account(config, self.origin)
        if account is not None:
            self.regions = intersect_regions(self.regions, account.allowed_regions)


def find_account(config: RoutingConfig, origin: RequestOrigin) -> Account | None:
    """Return the client account of a request, also if its key is no longer in use.

    The account of a key also counts on a public route, which needs no key.

    Args:
        config: The configuration in force.
        origin: Identifies the request's account.
    """
    account = config.accounts.get(origin.key)
    if origin.account is None or (account and account.account == origin.account):
        return account
    accounts = config.accounts.values()
    same_name = (other for other in accounts if other.account == origin.account)
    return next(same_name, account)


def intersect_regions(first: AllowedRegions, second: AllowedRegions) -> AllowedRegions:
    """Return the regions that two restrictions both allow."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


def is_in_regions(
    domain: DomainName,
    allowed: frozenset[RegionName],
    regions: Mapping[DomainName, RegionName],
) -> bool:
    """Check whether a failure domain belongs to one of the allowed regions.

    A domain that is missing from the settings forms a region of its own, with the name
    of the domain. It does not belong to a region of other domains with that name.

    Args:
        domain: The failure domain.
        allowed: The allowed regions.
        regions: The region of each failure domain in the settings.
    """
    region = regions.get(domain)
    if region is not None:
        return region in allowed
    return domain in allowed and domain not in regions.values()


class RegionConstraint(Constraint):
    """Excludes targets outside the regions to which a request is restricted.

    Attributes:
        site: The settings in force.
    """

    def __init__(self, site: Site) -> None:
        self.site = site

    def is_active(self, request: TargetRequirements) -> bool:
        """Return whether the request is restricted to regions."""
        return request.regions is not None

    def check(
        self, request: TargetRequirements, target: ListedTarget, now: Seconds
    ) -> Exclusion | None:
        """Exclude a target in another region; see ``Constraint``."""
        allowed = request.regions
        if allowed is None or is_in_regions(target.domain, allowed, self.site.regions):
            return None
        return Exclusion(ExclusionReason.REGION)
