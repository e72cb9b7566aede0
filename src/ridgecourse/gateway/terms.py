"""What the configuration says of a request."""

from random import Random

from msgspec import Struct
from returns.result import Failure, Result, Success

from ridgecourse.core.ids import ServiceName
from ridgecourse.core.routes import Account, Route, RoutingConfig, Service
from ridgecourse.gateway.messages import CallerRequest


class Terms(Struct, frozen=True):
    """The terms on which a request is served."""

    route: Route
    service: Service
    account: Account | None


class Rejection(Struct, frozen=True):
    """Why a configuration does not allow a request.

    Attributes:
        status: HTTP status for the caller.
        why: For the caller and the log.
    """

    status: int
    why: str


NO_ROUTE = Rejection(404, "no route")
UNKNOWN_KEY = Rejection(401, "key")
UNKNOWN_SERVICE = Rejection(503, "unknown service")
"""A route names a service that the configuration lacks; the next one may have it."""


def find_terms(
    call: CallerRequest, config: RoutingConfig, random: Random
) -> Result[Terms, Rejection]:
    """Return a request's terms, or why there are none.

    Args:
        call: The request.
        config: The configuration in force.
        random: Chooses among the services of a split route.
    """
    route = config.find_route(call.host, call.path)
    if route is None:
        return Failure(NO_ROUTE)
    account = None
    if config.keyed and not route.public:
        account = config.accounts.get(call.key)
        if account is None:
            return Failure(UNKNOWN_KEY)
    service = config.services.get(pick_service(route, random))
    if service is None:
        return Failure(UNKNOWN_SERVICE)
    return Success(Terms(route, service, account))


def pick_service(route: Route, random: Random) -> ServiceName:
    """Return the service that answers, by the route's shares."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [share.weight for share in route.services]
    return random.choices(route.services, weights)[0].service
