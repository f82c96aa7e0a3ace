#!/usr/bin/env python3
"""Counts the events, outcomes and actions in recorded streams by kind and prints them as Markdown tables.

    count_events.py GOLDEN_DIR
"""

import collections
import gzip
import json
import pathlib
import sys

OUTCOMES = ["ok", "error", "rejected", "timeout", "connect failed", "reset", "cancelled", "not sent"]


def event_labels(kind, body):
    """Yields the labels of the table rows in which one event is counted."""
    yield kind
    if kind == "BackendsChanged":
        yield f"{kind}, {body['kind']}"
    elif kind == "Settled":
        yield f"{kind}, {OUTCOMES[body['code']]}"
        if body["code"] == 2:
            yield f"{kind}, rejected, {'wait told' if body.get('remarkMs') else 'no wait told'}"
        if "serverStats" in body:
            yield f"{kind}, with a load report"
    elif kind == "Order":
        yield f"{kind}, class {body['category']}"
        if "targetKey" in body:
            yield f"{kind}, with ordering key"
        if body.get("again"):
            yield f"{kind}, taken over after a restart"
    elif kind == "SnapshotRows":
        for row in body["hosts"]:
            yield f"{kind}, entry {row['mode']}"


def action_labels(kind, body):
    """Yields the labels of the table rows in which one action is counted."""
    yield kind
    if kind == "TurnAway" and body["holdOff"] > 0:
        yield "TurnAway, with advised wait"
    if kind == "Record":
        recovered = body["what"].startswith("recovered")
        yield "Record, recovered" if recovered else f"Record, outage, {body['what'].split(' ', 2)[2]}"


def count_lines(path, list_name, labels, counts):
    """Adds the events or actions of one recorded file to `counts`.

    Returns the times of its batches, in milliseconds.
    """
    moments = []
    for line in gzip.open(path):
        if line.startswith(b"exit code"):
            counts["adapter ended by its input"][0] += 1
            counts["adapter ended by its input"][1].add(path.name)
            continue
        batch = json.loads(line)
        moments.append(batch.get("moment", 0.0))
        for group in batch["groups"]:
            for tagged in group[list_name]:
                (kind, body), = tagged.items()
                for label in labels(kind, body):
                    counts[label][0] += 1
                    counts[label][1].add(path.name)
    return moments


def print_table(title, counts):
    print(f"| {title} | count | streams |\n| --- | ---: | ---: |")
    for label, (count, streams) in sorted(counts.items()):
        print(f"| {label} | {count} | {len(streams)} |")
    print()


def main():
    folder = pathlib.Path(sys.argv[1])
    events, actions = (collections.defaultdict(lambda: [0, set()]) for _ in range(2))
    batches = forward_jumps = backward_jumps = 0
    for path in sorted(folder.glob("*.input.gz")):
        moments = count_lines(path, "happened", event_labels, events)
        steps = [after - before for before, after in zip(moments, moments[1:])]
        batches += len(moments)
        forward_jumps += sum(step > 2000 for step in steps)
        backward_jumps += sum(step < 0 for step in steps)
    for path in sorted(folder.glob("*.output.gz")):
        count_lines(path, "cmds", action_labels, actions)
    print(f"{batches} batches; the clock jumps forward by over 2 s {forward_jumps} times, ", end="")
    print(f"back {backward_jumps} times.\n")
    print_table("event", events)
    print_table("action", actions)


if __name__ == "__main__":
    main()
