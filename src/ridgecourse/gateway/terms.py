"""Find the route, service and client account of a request in the configuration."""

from random import Random

from msgspec import Struct
from returns.result import Failure, Result, Success

from ridgecourse.core.ids import ServiceName
from ridgecourse.core.routes import Account, Route, RoutingConfig, Service
from ridgecourse.gateway.messages import ClientRequest


class Terms(Struct, frozen=True):
    """Route, service and client account by which a request is served."""

    route: Route
    service: Service
    account: Account | None


class Rejection(Struct, frozen=True):
    """Reason for which the configuration does not allow a request.

    Attributes:
        status: HTTP status for the client.
        why: Message for the client and the event log.
    """

    status: int
    why: str


NO_ROUTE = Rejection(404, "no route")
UNKNOWN_KEY = Rejection(401, "key")
UNKNOWN_SERVICE = Rejection(503, "unknown service")
"""The route names a service that the configuration lacks; a newer configuration may
have the service."""


def find_terms(
    call: ClientRequest, config: RoutingConfig, random: Random
) -> Result[Terms, Rejection]:
    """Return the terms of a request, or the reason for a rejection.

    Args:
        call: The request.
        config: The configuration in force.
        random: Selects among the services of a split route.
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
    """Return one of a route's services, selected by their shares."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [share.weight for share in route.services]
    return random.choices(route.services, weights)[0].service
