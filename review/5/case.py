"""The time of day jumps back, and an upstream starts again under its id.

Its start then has an earlier Unix millisecond than the one before.  When it
leaves, its daemon acknowledges `draining` and goes on sending it requests.
"""

import pathlib
import threading
import time

import deployment

HOST = "jepu9.example"
SERVICE = "huvo11a"
JUMP_MS = 2000
RUN_S = 6.0
SERVES_ON_S = 8.0
"""How long the leaving upstream goes on serving after the acknowledgement."""


def work_s(path):
    """Return how long an upstream takes for a request."""
    return 0.05


def case(deployed):
    """Play the case, and return the breaches."""
    routes = [deployment.route("r-one", HOST, "/lepu270/", SERVICE)]
    deployed.push(10, routes, [SERVICE])
    first, *others = [
        deployed.add(SERVICE, zone)
        for zone in ("sherwood", "charnwood", "wyre", "cannock")
    ]
    for machine in others:
        deployed.add_upstream(machine, work_s)
    deployed.wait_serving(
        [
            lambda m=machine: m.call("GET", HOST, "/lepu270/2f", 1500).stamped
            for machine in deployed.machines
        ]
    )

    # The machine's time of day is ahead when the upstream starts.
    ahead_ms = JUMP_MS if deployment.TROUBLE else 0
    if ahead_ms:
        deployed.record(
            f"{first.name}: the time of day jumps {JUMP_MS} ms ahead"
        )
    before = deployed.add_upstream(
        first, work_s, "i-7f3a91c2", int(time.time() * 1000) + ahead_ms
    )
    time.sleep(0.7)
    before.crash()
    if ahead_ms:
        deployed.record(f"{first.name}: the time of day jumps back")
    time.sleep(0.5)
    leaving = deployed.add_upstream(
        first, work_s, "i-7f3a91c2", int(time.time() * 1000)
    )

    stop = threading.Event()

    def send():
        while not stop.wait(0.1):
            first.call("GET", HOST, "/lepu270/2f", 1500)

    senders = [threading.Thread(target=send) for _ in range(3)]
    for sender in senders:
        sender.start()
    time.sleep(RUN_S)
    if not leaving.runs:
        raise deployment.NotRun("the upstream got no requests")
    leaving.state = "draining"
    for _ in range(4):
        if leaving.acknowledged_s or leaving.beat():
            break
    acknowledged_s = leaving.acknowledged_s
    if not acknowledged_s:
        stop.set()
        raise deployment.NotRun("the leave isn't acknowledged")
    time.sleep(SERVES_ON_S)
    stop.set()
    for sender in senders:
        sender.join()
    leaving.deregister()
    late_s = acknowledged_s + deployed.bounds["drain_timeout_s"]
    return [
        f"DRAIN: {run['id']} reaches {leaving.id} "
        f"{run['at_s'] - acknowledged_s:.2f} s after {first.name} "
        "acknowledged that it drains"
        for run in leaving.runs
        if run["at_s"] > late_s
    ]


if __name__ == "__main__":
    deployment.main(pathlib.Path(__file__).parent, case)
