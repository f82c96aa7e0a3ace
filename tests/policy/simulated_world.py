"""Simulated destinations with rate limits, connection tables, faults and cold starts, random from a seed."""

import math
from dataclasses import dataclass, field

OK, ERROR, REJECTED, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, NOT_SENT = range(8)
FAULTS = ["refuses_connections", "does_not_answer", "resets", "errors", "rejects_all", "slow", "unreachable"]
CONNECT_TIMEOUT_MS = 1500.0
SLOW_FACTOR = 8.0


@dataclass
class CallResult:
    """How a call ends, `delay` milliseconds after it was sent."""

    outcome: int
    delay: float
    retry_after: int = 0  # milliseconds, of a rejection; 0: not given


@dataclass
class RateLimit:
    """A token bucket. After an outage its rate rises from the cold share to the full rate."""

    rate: float
    cold_share: float
    warm_up_time: float
    tokens: float = 1.0
    updated: float = 0.0
    recovered: float = -1e12

    def present_rate(self, now):
        warmth = min(1.0, (now - self.recovered) / self.warm_up_time)
        return self.rate * (self.cold_share + (1 - self.cold_share) * warmth)

    def admit(self, now):
        earned = self.present_rate(now) * (now - self.updated) / 1000
        self.tokens = min(max(2.0, self.rate / 4), self.tokens + earned)
        self.updated = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass
class Endpoint:
    """One listed endpoint."""

    address: str
    destination: int
    zone: int
    kind: int
    limit: RateLimit
    rating: float
    mode: str = "up"
    fault: str = ""
    fault_until: float = 0.0
    idle: dict = field(default_factory=dict)  # by instance: when each of its idle connections was last used
    busy: int = 0

    def row(self):
        """Returns the entry of the endpoint list."""
        return {"destination": self.destination, "az": self.zone, "endpoint": self.address, "mode": self.mode,
                "machine": self.kind, "rating": self.rating}


class World:
    """All destinations of a scenario."""

    def __init__(self, scenario, random):
        self.scenario = scenario
        self.random = random
        self.rules = scenario.params(0)["rules"]
        self.idle_limit = scenario.params(0)["caps"]["connIdle"]
        self.shared_limits = {}
        self.endpoints = {}
        self.next_address = 0
        for destination in range(scenario.destinations):
            for _ in range(scenario.endpoints_per_destination):
                self.add_endpoint(destination)

    def add_endpoint(self, destination):
        kind = destination % len(self.scenario.kinds)
        limit = self._limit(destination, kind)
        self.next_address += 1
        address = f"10.0.{destination}.{self.next_address}:80"
        endpoint = Endpoint(address, destination, self.random.randrange(self.scenario.zones), kind, limit,
                            self._advertised_rate(limit))
        self.endpoints[address] = endpoint
        return endpoint

    def _limit(self, destination, kind):
        fresh = RateLimit(self.scenario.capacity * self.random.uniform(0.6, 1.6), self.rules["coldShare"],
                          self.rules["warmWithin"])
        routes_apart = self.scenario.kinds[kind][0]
        return fresh if routes_apart else self.shared_limits.setdefault(destination, fresh)

    def _advertised_rate(self, limit):
        if self.scenario.rates == "silent":
            return 1
        advertised = limit.rate * self.scenario.dispatchers / self.scenario.instances
        if self.scenario.rates == "rough":
            advertised *= self.random.uniform(0.5, 1.5)
        return round(advertised, 2)

    def start_fault(self, now, endpoints):
        """Gives the endpoints the same random fault for 0.4 to 7 seconds."""
        fault = self.random.choice(FAULTS)
        until = now + self.random.uniform(400, 7000)
        for endpoint in endpoints:
            endpoint.fault, endpoint.fault_until = fault, until

    def _end_fault(self, now, endpoint):
        if endpoint.fault and endpoint.fault_until <= now:
            if endpoint.fault != "slow":
                endpoint.limit.recovered = endpoint.fault_until
            endpoint.fault = ""

    def _open_connections(self, now, endpoint):
        for ages in endpoint.idle.values():
            ages[:] = [used for used in ages if used + self.idle_limit > now]
        return endpoint.busy + sum(len(ages) for ages in endpoint.idle.values())

    def call(self, now, instance, address, time_out):
        """Returns the result of a call that the instance sends now."""
        endpoint = self.endpoints[address]
        self._end_fault(now, endpoint)
        open_connections = self._open_connections(now, endpoint)
        ages = endpoint.idle.setdefault(instance, [])
        idle_age = now - ages.pop() if ages else None
        result = self._draw_result(now, endpoint, idle_age, open_connections)
        if result.delay > time_out:
            unsent = result.outcome == CONNECT_FAILED
            result = CallResult(CONNECT_FAILED if unsent else TIMEOUT, time_out)
        endpoint.busy += 1
        return result

    def _draw_result(self, now, endpoint, idle_age, open_connections):
        scenario, random = self.scenario, self.random
        latency = scenario.latency * math.exp(random.gauss(0, scenario.latency_sigma))
        if endpoint.mode == "removed":
            return CallResult(CONNECT_FAILED, 2.0)
        dropped = scenario.dropped_idle_age and idle_age is not None and idle_age > scenario.dropped_idle_age
        if dropped:
            return CallResult(RESET, 1.0) if random.random() < 0.5 else CallResult(TIMEOUT, math.inf)
        table = scenario.connection_table
        if idle_age is None and table and open_connections + random.randrange(3) > table:
            full = random.random() < 0.7
            return CallResult(REJECTED, 0.2 * latency) if full else CallResult(CONNECT_FAILED, 5.0)
        if endpoint.fault:
            return self._result_of_fault(endpoint.fault, latency)
        if random.random() < scenario.hang_share:
            return CallResult(TIMEOUT, math.inf)
        if not endpoint.limit.admit(now):
            has_retry_after = random.random() < scenario.retry_after_share
            retry_after = int(random.uniform(50, 1200)) if has_retry_after else 0
            return CallResult(REJECTED, 0.6 * latency, retry_after)
        draw = random.random()
        if draw < scenario.error_share:
            return CallResult(ERROR, latency)
        if draw < scenario.error_share + scenario.reset_share:
            return CallResult(RESET, 0.5 * latency)
        return CallResult(OK, latency)

    def _result_of_fault(self, fault, latency):
        if fault == "refuses_connections":
            return CallResult(CONNECT_FAILED, 1.0)
        if fault == "unreachable":
            return CallResult(CONNECT_FAILED, CONNECT_TIMEOUT_MS)
        if fault == "does_not_answer":
            return CallResult(TIMEOUT, math.inf)
        if fault == "resets":
            return CallResult(RESET, 0.3 * latency)
        if fault == "errors":
            return CallResult(ERROR, 0.5 * latency)
        if fault == "rejects_all":
            retry_after = self.random.choice([0, 0, 300, 2500])
            return CallResult(REJECTED, 0.4 * latency, retry_after)
        return CallResult(OK, SLOW_FACTOR * latency)

    def finish_call(self, now, instance, address, outcome):
        """Keeps the connection of a call as an idle one if the outcome allows it to be used again."""
        endpoint = self.endpoints[address]
        endpoint.busy -= 1
        if outcome in (OK, ERROR, REJECTED):
            endpoint.idle.setdefault(instance, []).append(now)

    def close_idle(self, instance, address):
        self.endpoints[address].idle.pop(instance, None)
