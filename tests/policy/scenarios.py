"""Scenarios for recording inputs of the dispatch policy: settings of a site, behaviour of its endpoints."""

from dataclasses import dataclass, field

DEFAULT_CAPABILITIES = {
    "cancel": True, "connIdle": 15000.0, "maxAttempts": 6, "maxRetryAfter": 3000.0, "mostHeld": 265,
    "multiplex": 1, "peers": True, "probes": True, "retryAfter": False, "secondCopies": False,
}
DEFAULT_RULES = {
    "answerSlack": 20.0, "askEvery": 10000.0, "coldShare": 0.3, "drainGrace": 2000.0, "fallMultiple": 1.5,
    "tipAfter": 1500.0, "warmWithin": 6000.0, "keyQuiet": 700.0,
}


def message_class(idempotency, objective, deadline, weight, late_fraction=0.4, group="all", window=5000.0,
                  ordered=False):
    """Returns one entry of `grades`. Times are in milliseconds."""
    return {"slo": objective, "deadline": deadline, "credit": weight, "lateShare": late_fraction,
            "idempotency": idempotency, "group": group, "repeatWindow": window, "inOrder": ordered}


THREE_CLASSES = [
    message_class("pure", 1000.0, 9000.0, 1.0),
    message_class("token", 1500.0, 8000.0, 2.0),
    message_class("side_effect", 1500.0, 10000.0, 5.0, 0.3),
]
KEY_SCOPE_CLASSES = [
    message_class("pure", 800.0, 6000.0, 1.0, 0.1),
    message_class("token", 900.0, 7000.0, 2.0, 0.5, "all", 2500.0),
    message_class("token", 900.0, 7000.0, 3.0, 0.5, "zone", 3000.0),
    message_class("token", 900.0, 7000.0, 2.5, 0.2, "endpoint", 4000.0),
    message_class("side_effect", 1200.0, 9000.0, 6.0, 0.3),
]
SHORT_WINDOW_CLASSES = [
    message_class("pure", 800.0, 6000.0, 1.0, 0.1),
    message_class("token", 900.0, 7000.0, 2.0, 0.5, "all", 250.0),
    message_class("token", 900.0, 7000.0, 3.0, 0.5, "zone", 400.0),
    message_class("token", 900.0, 7000.0, 2.5, 0.2, "endpoint", 600.0),
    message_class("side_effect", 1200.0, 9000.0, 6.0, 0.3),
]
ORDERED_CLASSES = [
    message_class("pure", 700.0, 6000.0, 1.0, 0.2, ordered=True),
    message_class("token", 900.0, 7000.0, 2.0, 0.5, "all", 3000.0, ordered=True),
    message_class("token", 900.0, 7000.0, 2.0, 0.5, "zone", 3000.0, ordered=True),
    message_class("side_effect", 900.0, 9000.0, 4.0, 0.3, ordered=True),
    message_class("pure", 900.0, 5000.0, 1.5),
]


@dataclass
class Scenario:
    """A site and its load. Rates are per second and times in milliseconds, unless the name says otherwise."""

    name: str
    seconds: float = 45.0
    instances: int = 2
    dispatchers: int = 2
    arrival_rate: float = 25.0  # messages that reach one instance
    classes: list = field(default_factory=lambda: THREE_CLASSES)
    destinations: int = 5
    endpoints_per_destination: int = 3
    zones: int = 2
    kinds: list = field(default_factory=lambda: [(False, 1)])  # (limits for each endpoint, messages per call)
    capacity: float = 40.0  # calls a second that one rate limit allows all simulated instances together
    latency: float = 60.0  # median of the latencies
    latency_sigma: float = 0.5
    rates: str = "nominal"
    late: str = "linear"
    concurrent_calls: int = 12
    tenants: int = 0
    tenant_allowance: float = 15.0
    load_reports: bool = False
    subscribe: bool = False
    capabilities: dict = field(default_factory=dict)
    rules: dict = field(default_factory=dict)
    handshake_price: float = 0.02
    cross_zone_price: float = 0.01
    endpoint_fault_rate: float = 0.1
    destination_fault_rate: float = 0.04
    list_change_rate: float = 0.1
    list_failure_rate: float = 0.0
    error_share: float = 0.01
    reset_share: float = 0.01
    hang_share: float = 0.003
    not_sent_share: float = 0.001
    withdrawal_share: float = 0.01
    retry_after_share: float = 0.6
    connection_table: int = 0  # connections that an endpoint accepts; 0: any number
    dropped_idle_age: float = 0.0  # connections idle for longer are dropped without notice; 0: none are
    restart_rate: float = 0.0
    stall_rate: float = 0.0
    clock_jump_rate: float = 0.0
    stray_event_rate: float = 0.5
    burst_share: float = 0.0  # part of the time in which messages arrive at five times the arrival rate
    fatal_event: str = ""  # what is out of range in the last batch and ends the adapter: "class" or "kind"

    def params(self, ordinal):
        """Returns the `params` of Begin for one instance."""
        allowances = [self.tenant_allowance / (1 + index) for index in range(self.tenants)]
        return {
            "balancers": self.dispatchers, "ordinal": ordinal, "zone": ordinal % self.zones,
            "zones": [f"zone-{index}" for index in range(self.zones)],
            "flavors": [f"kind-{index}" for index in range(len(self.kinds))],
            "grades": self.classes, "weightKind": self.rates, "overShareWorth": 0.1,
            "discovery": "subscribe" if self.subscribe else "automatic",
            "caps": {**DEFAULT_CAPABILITIES, **self.capabilities},
            "rules": {**DEFAULT_RULES, **self.rules},
            "penalties": {"handshake": self.handshake_price, "crossZone": self.cross_zone_price},
            "tenants": [{"portion": 1 / self.tenants, "allowancePerS": rate} for rate in allowances],
            "specifics": {
                "callsOut": self.concurrent_calls, "late": self.late, "refusalCost": 0.05,
                "kindApart": [apart for apart, _ in self.kinds],
                "bundleMax": [batch for _, batch in self.kinds],
                "feeByZone": [0.3 * index for index in range(self.zones)],
            },
        }


SCENARIOS = [
    Scenario("everyday", fatal_event="class"),
    Scenario("overload", instances=1, dispatchers=1, arrival_rate=110.0, seconds=22.0, late="halving",
             classes=KEY_SCOPE_CLASSES, destinations=4, concurrent_calls=8, tenants=3,
             capabilities={"mostHeld": 90, "retryAfter": True, "maxRetryAfter": 300.0}, burst_share=0.2),
    Scenario("fleet_300_rough", dispatchers=300, rates="rough", destinations=6, capacity=8.0,
             arrival_rate=20.0, connection_table=4, destination_fault_rate=0.06),
    Scenario("fleet_120_untold", dispatchers=120, rates="silent", destinations=4, capacity=7.0,
             arrival_rate=20.0, late="halving", connection_table=5, retry_after_share=0.3,
             classes=KEY_SCOPE_CLASSES),
    Scenario("routes_apart_batches", kinds=[(True, 8), (False, 4), (True, 1)], zones=3, destinations=6,
             arrival_rate=45.0, capacity=10.0, concurrent_calls=10, seconds=35.0, classes=KEY_SCOPE_CLASSES),
    Scenario("ordered_keys", classes=ORDERED_CLASSES, destinations=3, hang_share=0.02, reset_share=0.03,
             arrival_rate=22.0, late="halving", kinds=[(False, 1), (False, 3)]),
    Scenario("outages", destinations=6, endpoint_fault_rate=0.5, destination_fault_rate=0.25,
             classes=KEY_SCOPE_CLASSES, arrival_rate=22.0, instances=3, dispatchers=3, seconds=35.0,
             retry_after_share=0.3, tenants=2),
    Scenario("list_on_request", subscribe=True, fatal_event="kind", list_change_rate=2.0,
             list_failure_rate=0.25, rules={"warmWithin": 1200.0}, kinds=[(False, 1), (True, 2)],
             arrival_rate=22.0),
    Scenario("slots_bound", concurrent_calls=5, arrival_rate=45.0, latency=110.0, hang_share=0.05,
             instances=1, dispatchers=4, capacity=90.0, destinations=2, endpoints_per_destination=2,
             capabilities={"multiplex": 4, "secondCopies": True},
             endpoint_fault_rate=0.05, destination_fault_rate=0.02, error_share=0.1,
             classes=SHORT_WINDOW_CLASSES),
    Scenario("slow_destinations", latency=450.0, latency_sigma=0.3, concurrent_calls=40, arrival_rate=18.0,
             hang_share=0.03, destinations=6, endpoint_fault_rate=0.5, capacity=30.0, late="halving",
             classes=KEY_SCOPE_CLASSES),
    Scenario("idle_connections", arrival_rate=24.0, destinations=12, endpoints_per_destination=2,
             dropped_idle_age=1500.0, endpoint_fault_rate=0.03, destination_fault_rate=0.01, seconds=60.0,
             reset_share=0.001, error_share=0.002, hang_share=0.001, instances=1, dispatchers=40,
             capacity=60.0, connection_table=12),
    Scenario("restarts_and_clock", instances=3, dispatchers=3, restart_rate=0.4, stall_rate=0.15,
             clock_jump_rate=0.3, tenants=2, arrival_rate=18.0),
    Scenario("load_reports", load_reports=True, dispatchers=20, rates="rough", late="halving", tenants=4,
             capacity=8.0, arrival_rate=24.0,
             capabilities={"retryAfter": True, "maxRetryAfter": 500.0, "cancel": False},
             destinations=4, tenant_allowance=60.0, burst_share=0.1),
]
