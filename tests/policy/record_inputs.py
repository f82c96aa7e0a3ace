#!/usr/bin/env python3
"""Records inputs of the dispatch policy: runs a simulator adapter in seeded scenarios and obeys its replies.

Each batch that is sent to the adapter becomes one line of STREAM.input.gz. The adapter's replies become the
expected output: STREAM.output.sha256 has their checksum, and STREAM.output.gz all of them if they are small.

    record_inputs.py ADAPTER GOLDEN_DIR [--seeds N] [--only SCENARIO] [--whole-outputs BYTES]
"""

import argparse
import gzip
import hashlib
import heapq
import itertools
import json
import pathlib
import random
import subprocess
from dataclasses import dataclass, field

from scenarios import SCENARIOS
from simulated_world import CANCELLED, ERROR, NOT_SENT, OK, RESET, TIMEOUT, World

TICK_MS = 5.0
LIST_SLOTS = 16
ORDERING_KEYS = 6
LIST_CHANGES = ["drain", "remove", "restore", "rerate", "replace", "return", "flap"]
# An endpoint that flaps is removed at once. These list changes follow: milliseconds after the removal, state.
FLAP_STEPS = [(2500, "removed"), (5000, "up")]
MAY_HAVE_RUN = (ERROR, TIMEOUT, RESET, CANCELLED)


@dataclass
class Message:
    """A message that was handed to an instance."""

    id: str
    fields: dict
    deadline: float
    attempts: int = 0
    pending: set = field(default_factory=set)  # numbers of the attempts in flight
    ended: bool = False
    may_have_run: bool = False


@dataclass
class Instance:
    """One dispatcher under test, as the simulator sees it."""

    name: str
    ordinal: int
    incarnation: int = 0  # counts the starts; events of an earlier incarnation are dropped
    alive: bool = False
    subscribed: bool = False
    missed_changes: dict = field(default_factory=dict)
    messages: dict = field(default_factory=dict)
    calls_out: int = 0
    stalled_until: float = 0.0


@dataclass
class Call:
    """A call in flight to an address, with its messages and their attempt numbers."""

    address: str
    members: list = field(default_factory=list)
    done: bool = False


class Adapter:
    """The adapter process. Keeps the batches that were sent to it and its replies."""

    def __init__(self, path):
        self.process = subprocess.Popen([path], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.sent_batches = []
        self.replies = []

    def exchange(self, batch):
        line = json.dumps(batch, separators=(",", ":")).encode() + b"\n"
        self.process.stdin.write(line)
        self.process.stdin.flush()
        reply = self.process.stdout.readline()
        self.sent_batches.append(line)
        self.replies.append(reply)
        return json.loads(reply) if reply else {"groups": []}

    def close(self):
        """Ends the adapter. If it failed, its exit code becomes the last reply, as in replay.sh."""
        self.process.stdin.close()
        exit_code = self.process.wait()
        if exit_code != 0:
            self.replies.append(f"exit code {exit_code}\n".encode())


class Recorder:
    """Runs one scenario with one seed."""

    def __init__(self, scenario, seed, adapter):
        self.scenario = scenario
        self.random = random.Random(f"{scenario.name}/{seed}")
        self.adapter = adapter
        self.world = World(scenario, self.random)
        self.instances = [Instance(f"node-{n}", n) for n in range(scenario.instances)]
        self.by_name = {instance.name: instance for instance in self.instances}
        self.queue = []
        self.sequence = itertools.count()
        self.message_ids = itertools.count()
        self.last_id = 0
        self.list_slot = 0
        self.list_version = 0
        self.clock_offset = 0.0
        self.now = 0.0
        self.groups = {}

    # ---- Schedule ----

    def after(self, delay, action, *arguments):
        heapq.heappush(self.queue, (self.now + max(delay, 0.0), next(self.sequence), action, arguments))

    def every(self, rate, action):
        """Calls the action at random times, on average `rate` times a second."""
        if rate <= 0:
            return

        def repeat():
            action()
            self.after(1000 * self.random.expovariate(rate), repeat)

        self.after(1000 * self.random.expovariate(rate), repeat)

    def run(self):
        scenario = self.scenario
        self.adapter.exchange({"moment": 0.0, "groups": []})
        for instance in self.instances:
            self.after(0, self.begin, instance)
            self.every(scenario.arrival_rate, lambda instance=instance: self.arrive(instance))
        self.every(scenario.endpoint_fault_rate, self.fail_endpoint)
        self.every(scenario.destination_fault_rate, self.fail_destination)
        self.every(scenario.list_change_rate, self.change_list)
        self.every(scenario.list_failure_rate, self.break_list)
        self.every(scenario.restart_rate, self.restart_one)
        self.every(scenario.stall_rate, self.stall_one)
        self.every(scenario.clock_jump_rate, self.jump_clock)
        self.every(scenario.stray_event_rate, self.stray_event)
        while self.queue and self.now < 1000 * scenario.seconds:
            self.now = max(self.now + TICK_MS, -(-self.queue[0][0] // TICK_MS) * TICK_MS)
            self.run_batch()
        if scenario.fatal_event:
            self.end_by_fatal_event()

    def end_by_fatal_event(self):
        instance = next(instance for instance in self.instances if instance.alive)
        instance.stalled_until = 0.0
        self.now += TICK_MS
        self.groups = {}
        if self.scenario.fatal_event == "class":
            order = {"req": "last", "grace": 5000.0, "category": 99, "calledNode": 0}
            self.send_event(instance, "Order", order)
        else:
            self.send_list(instance, "INCREMENTAL", [{**self.listed_rows()[0], "machine": 99}])
        self.exchange_groups()

    def run_batch(self):
        self.groups = {}
        while self.queue and self.queue[0][0] <= self.now:
            _, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        self.exchange_groups()

    def exchange_groups(self):
        groups = [{"nodeId": name, "happened": events} for name, events in self.groups.items()]
        if not groups:
            return
        reply = self.adapter.exchange({"moment": self.now + self.clock_offset, "groups": groups})
        for group in reply["groups"]:
            self.carry_out(self.by_name[group["nodeId"]], group["cmds"])

    def deliver(self, instance, incarnation, kind, body):
        """Adds an event to the batch. If the instance is stalled, the event comes when the stall is over."""
        if not instance.alive or instance.incarnation != incarnation:
            return
        if instance.stalled_until > self.now:
            self.after(instance.stalled_until - self.now, self.deliver, instance, incarnation, kind, body)
            return
        self.groups.setdefault(instance.name, []).append({kind: body})

    def send_event(self, instance, kind, body):
        self.deliver(instance, instance.incarnation, kind, body)

    # ---- Start and end of an instance ----

    def begin(self, instance):
        instance.incarnation += 1
        instance.alive = True
        instance.subscribed = not self.scenario.subscribe
        instance.messages, instance.missed_changes, instance.calls_out = {}, {}, 0
        instance.stalled_until = 0.0
        seed = self.random.getrandbits(63)
        self.send_event(instance, "Begin", {"seed": seed, "params": self.scenario.params(instance.ordinal)})
        self.send_list(instance, "SAVED", self.listed_rows())

    def restart_one(self):
        instance = self.random.choice(self.instances)
        if not instance.alive:
            return
        if self.random.random() < 0.2:
            return self.begin(instance)  # starts again without a Retire
        instance.stalled_until = 0.0
        self.send_event(instance, "Retire", {})
        instance.alive = False
        for endpoint in self.world.endpoints.values():
            endpoint.idle.pop(instance.name, None)
        pending_messages = [message for message in instance.messages.values() if not message.ended]
        if self.random.random() < 0.5:
            self.begin(instance)
        else:
            self.after(self.random.uniform(50, 3000), self.begin, instance)
        successors = [other for other in self.instances if other.alive]
        for message in pending_messages:
            if successors and not message.may_have_run and not message.pending:
                self.hand_in(self.random.choice(successors), {**message.fields, "again": True},
                             message.deadline)

    def stall_one(self):
        self.random.choice(self.instances).stalled_until = self.now + self.random.uniform(100, 1500)

    def jump_clock(self):
        jump = self.random.choice([20000.0, 3000.0, 400.0, -30.0, -2000.0])
        self.clock_offset = max(self.clock_offset + jump, -self.now)

    # ---- Endpoint lists ----

    def listed_rows(self):
        return [endpoint.row() for endpoint in self.world.endpoints.values() if endpoint.mode != "removed"]

    def send_list(self, instance, kind, rows):
        self.list_version += 1
        if kind != "FAILED":
            self.list_slot = (self.list_slot + 1) % LIST_SLOTS
            self.send_event(instance, "SnapshotRows", {"slot": self.list_slot, "hosts": rows})
        changed = {"seqNo": self.list_version, "kind": kind, "slot": self.list_slot}
        self.send_event(instance, "BackendsChanged", changed)

    def change_list(self):
        listed = [e for e in self.world.endpoints.values() if e.mode != "removed"]
        endpoint = self.random.choice(listed)
        change = self.random.choice(LIST_CHANGES)
        removed = [e for e in self.world.endpoints.values() if e.mode == "removed"]
        if change == "return" and removed:
            endpoint = self.random.choice(removed[-4:])
        changed = [endpoint]
        if change == "drain":
            endpoint.mode = "draining"
        elif change in ("restore", "return"):
            endpoint.mode = "up"
        elif change == "rerate":
            endpoint.rating = round(endpoint.rating * self.random.uniform(0.7, 1.4), 2)
        else:
            endpoint.mode = "removed"
        if change == "flap":
            for delay, mode in FLAP_STEPS:
                self.after(delay, self.set_mode, endpoint, mode)
        lonely = sum(e.destination == endpoint.destination for e in listed) < 3
        if change == "replace" or (endpoint.mode == "removed" and lonely):
            changed.append(self.world.add_endpoint(endpoint.destination))
        self.publish(changed)

    def set_mode(self, endpoint, mode):
        endpoint.mode = mode
        self.publish([endpoint])

    def publish(self, changed):
        """Sends changed endpoints to the subscribed instances. The others get them when they subscribe."""
        for instance in self.instances:
            instance.missed_changes.update((e.address, e) for e in changed)
            if instance.subscribed:
                self.after(self.random.uniform(0, 60), self.send_changes, instance)

    def send_changes(self, instance):
        if not instance.subscribed or not instance.missed_changes:
            return
        rows = [endpoint.row() for endpoint in instance.missed_changes.values()]
        instance.missed_changes = {}
        whole = self.random.random() < 0.2
        self.send_list(instance, "FULL" if whole else "INCREMENTAL", self.listed_rows() if whole else rows)

    def break_list(self):
        instance = self.random.choice(self.instances)
        if instance.alive and instance.subscribed:
            instance.subscribed = not self.scenario.subscribe
            self.send_list(instance, "FAILED", [])

    def answer_track(self, instance):
        if self.random.random() < 0.25:
            return self.send_list(instance, "FAILED", [])
        instance.subscribed = True
        rows = [endpoint.row() for endpoint in instance.missed_changes.values()]
        instance.missed_changes = {}
        whole = self.random.random() < 0.5
        self.send_list(instance, "FULL" if whole else "INCREMENTAL", self.listed_rows() if whole else rows)

    # ---- Faults ----

    def fail_endpoint(self):
        self.world.start_fault(self.now, [self.random.choice(list(self.world.endpoints.values()))])

    def fail_destination(self):
        destination = self.random.randrange(self.scenario.destinations)
        endpoints = self.world.endpoints.values()
        self.world.start_fault(self.now, [e for e in endpoints if e.destination == destination])

    # ---- Messages ----

    def arrive(self, instance):
        if not instance.alive:
            return
        in_burst = self.now % 10000 < 10000 * self.scenario.burst_share
        for _ in range(5 if in_burst else 1):
            self.new_message(instance)

    def new_message(self, instance):
        scenario, chance = self.scenario, self.random
        category = chance.randrange(len(scenario.classes))
        message_class = scenario.classes[category]
        destination = min(int(chance.expovariate(2.0 / scenario.destinations)), scenario.destinations - 1)
        fields = {"grace": message_class["deadline"], "category": category, "calledNode": destination}
        if chance.random() < 0.1:
            fields["grace"] *= chance.choice([0.03, 0.1, 0.5])
        if scenario.tenants:
            fields["account"] = min(int(chance.expovariate(1.0)), scenario.tenants - 1)
        if message_class["inOrder"] and chance.random() < 0.9:
            fields["targetKey"] = f"{chance.randrange(ORDERING_KEYS):016x}"
        self.hand_in(instance, fields, self.now + fields["grace"])
        if chance.random() < scenario.withdrawal_share:
            self.after(chance.uniform(0, fields["grace"]), self.withdraw, instance, f"m{self.last_id}")

    def hand_in(self, instance, fields, deadline):
        self.last_id = next(self.message_ids)
        grace = round(max(1.0, deadline - self.now), 1)
        message = Message(f"m{self.last_id}", fields, deadline)
        instance.messages[message.id] = message
        self.send_event(instance, "Order", {"req": message.id, **fields, "grace": grace})
        self.after(deadline - self.now + 25, self.withdraw, instance, message.id)

    def withdraw(self, instance, message_id):
        """Withdraws a message whose client has left, or whose deadline has passed without an answer."""
        message = instance.messages.get(message_id)
        if message is not None and not message.ended:
            message.ended = True
            self.send_event(instance, "Abandoned", {"req": message_id})

    # ---- Actions of the adapter ----

    def carry_out(self, instance, commands):
        open_calls = {}
        for command in commands:
            (kind, body), = command.items()
            if kind == "Forward":
                self.forward(instance, body, open_calls)
            elif kind in ("TurnAway", "ReportFailure"):
                instance.messages[body["req"]].ended = True
                self.schedule_resubmission(instance, kind, body)
            elif kind == "Revoke":
                self.after(TICK_MS, self.revoke, instance, instance.incarnation, body["req"], body["copy"])
            elif kind == "After":
                alarm = {"keyBack": body["keyBack"]}
                self.after(max(body["delay"], TICK_MS), self.deliver, instance, instance.incarnation, "Alarm",
                           alarm)
            elif kind == "Close":
                self.world.close_idle(instance.name, body["endpoint"])
            elif kind == "Track":
                self.after(self.random.uniform(5, 120), self.answer_track, instance)

    def schedule_resubmission(self, instance, kind, body):
        message = instance.messages[body["req"]]
        if kind == "TurnAway" and self.random.random() < 0.2:
            delay = body["holdOff"] + self.random.uniform(20, 500)
            self.after(delay, self.resubmit, instance, message)

    def resubmit(self, instance, message):
        if instance.alive and message.deadline > self.now + 50:
            self.hand_in(instance, message.fields, message.deadline)

    def forward(self, instance, body, open_calls):
        message = instance.messages[body["req"]]
        address = body["endpoint"]
        attempt = message.attempts
        message.attempts += 1
        message.pending.add(attempt)
        if self.random.random() < self.scenario.not_sent_share:
            settled = (instance, instance.incarnation, message, attempt, NOT_SENT, 0.0, address)
            self.after(TICK_MS, self.settle, *settled)
            return
        kind = self.world.endpoints[address].kind
        batch_max = self.scenario.kinds[kind][1]
        call = open_calls.get(address)
        if call is None or len(call.members) >= batch_max:
            call = open_calls[address] = Call(address)
            result = self.world.call(self.now, instance.name, address, body["within"])
            finished = (instance, instance.incarnation, call, result, self.now)
            self.after(max(result.delay, TICK_MS), self.finish, *finished)
        call.members.append((message, attempt))

    def finish(self, instance, incarnation, call, result, sent):
        if call.done:
            return
        call.done = True
        self.world.finish_call(self.now, instance.name, call.address, result.outcome)
        for message, attempt in call.members:
            wait = result.retry_after + self.random.choice([0, 0, 40]) if result.retry_after else 0
            if attempt in message.pending:
                latency = max(self.now - sent - self.random.uniform(0, TICK_MS), 0.1)
                self.settle(instance, incarnation, message, attempt, result.outcome, latency, call.address,
                            wait)

    def settle(self, instance, incarnation, message, attempt, outcome, latency, address, wait=0):
        message.pending.discard(attempt)
        message.may_have_run |= outcome in MAY_HAVE_RUN
        body = {"req": message.id, "code": outcome}
        if outcome == OK or message.ended:
            body["finished"] = True
            message.ended = True
        if wait or (outcome == NOT_SENT):
            body["remarkMs"] = wait or 1
        body.update(copy=attempt, waitTime=round(latency, 1), endpoint=address)
        if self.scenario.load_reports and self.random.random() < 0.5:
            body["serverStats"] = self.load_report(address)
        self.deliver(instance, incarnation, "Settled", body)

    def load_report(self, address):
        limit = self.world.endpoints[address].limit
        total = limit.rate * self.scenario.dispatchers / self.scenario.instances
        reported_rate = self.random.choice([0.0, total * self.random.uniform(0.9, 1.1)])
        return {"x0": round(self.random.random(), 3), "x1": round(reported_rate, 2)}

    def revoke(self, instance, incarnation, message_id, attempt):
        message = instance.messages.get(message_id)
        if message is not None and attempt in message.pending and instance.incarnation == incarnation:
            self.settle(instance, incarnation, message, attempt, CANCELLED, TICK_MS, "")

    # ---- Events that break the contract, or that the policy ignores ----

    def stray_event(self):
        instance = self.random.choice(self.instances)
        address = self.random.choice(list(self.world.endpoints))
        known = list(instance.messages)[-1] if instance.messages else "m0"
        outcome = self.random.randrange(8)
        kind, body = self.random.choice([
            ("Memo", {"who": 1, "body": "load 7"}),
            ("CheckResult", {"endpoint": address, "code": outcome, "waitTime": 3.5}),
            ("CheckResult", {"endpoint": "10.9.9.9:1", "code": TIMEOUT, "waitTime": 900.0}),
            ("Streaming", {"req": known, "copy": 0, "endpoint": address, "waitTime": 4.0}),
            ("Settled", {"req": "unknown", "code": outcome, "copy": 0, "endpoint": address, "waitTime": 1.0}),
            ("Settled", {"req": known, "code": outcome, "copy": 99, "endpoint": address, "waitTime": 1.0}),
            ("Abandoned", {"req": "unknown"}),
            ("Order", {"req": known, "grace": 5000.0, "category": 0, "calledNode": 0}),
            ("Alarm", {"keyBack": 0}),
        ])
        if kind == "Order" and (known not in instance.messages or instance.messages[known].ended):
            return  # an id may be accepted twice only while the message is pending
        self.send_event(instance, kind, body)


def compressed(lines):
    return gzip.compress(b"".join(lines), compresslevel=9, mtime=0)


def record(scenario, seed, adapter_path, folder, whole_output_bytes):
    """Records one stream and returns a summary line."""
    stream = f"{scenario.name}-{seed}"
    adapter = Adapter(adapter_path)
    Recorder(scenario, seed, adapter).run()
    adapter.close()
    inputs, outputs = compressed(adapter.sent_batches), compressed(adapter.replies)
    (folder / f"{stream}.input.gz").write_bytes(inputs)
    digest = hashlib.sha256(b"".join(adapter.replies)).hexdigest()
    (folder / f"{stream}.output.sha256").write_text(digest + "\n")
    if len(outputs) <= whole_output_bytes:
        (folder / f"{stream}.output.gz").write_bytes(outputs)
    return f"{stream}: {len(adapter.sent_batches)} batches, {len(inputs)} + {len(outputs)} bytes"


def main():
    raw_text = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw_text)
    parser.add_argument("adapter")
    parser.add_argument("golden_dir", type=pathlib.Path)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--only", default="")
    parser.add_argument("--whole-outputs", type=int, default=0, help="keep outputs of at most so many bytes")
    options = parser.parse_args()
    options.golden_dir.mkdir(parents=True, exist_ok=True)
    for scenario in SCENARIOS:
        if options.only not in ("", scenario.name):
            continue
        for seed in range(1, options.seeds + 1):
            summary = record(scenario, seed, options.adapter, options.golden_dir, options.whole_outputs)
            print(summary, flush=True)


if __name__ == "__main__":
    main()
