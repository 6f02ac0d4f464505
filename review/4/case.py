"""A drill of the store undoes a leave that a daemon has acknowledged.

An upstream deregisters, then goes on serving for some seconds.  The store
comes back from a copy that is older than the leave.  Then the daemon beside
the upstream is stopped and started again, as planned, and sends it requests.
"""

import pathlib
import signal
import threading
import time

import deployment

HOST = "jepu9.example"
SERVICE = "huvo11a"
AWAY_S = 0.7
SERVES_ON_S = 16.0
"""How long the leaving upstream goes on serving after the acknowledgement."""


def routes(timeout_s):
    """Return the routes of a version."""
    return [
        deployment.route(
            "r-one", HOST, "/lepu270/", SERVICE, timeout_s=timeout_s
        )
    ]


def case(deployed):
    """Play the case, and return the breaches."""
    deployed.push(10, routes(1.5), [SERVICE])
    first = deployed.add(SERVICE, "cannock")
    deployed.add(SERVICE, "sherwood")
    deployed.add(SERVICE, "wyre")
    deployed.add(SERVICE, "charnwood")
    leaving, *_ = [
        deployed.add_upstream(machine, lambda path: 0.05)
        for machine in deployed.machines
    ]
    deployed.wait_serving(
        [
            lambda m=machine: m.call("GET", HOST, "/lepu270/2f", 1500).stamped
            for machine in deployed.machines
        ]
    )
    time.sleep(4)

    store = deployed.store
    taken = store.take_copy()
    deployed.record(f"the store's copy is taken at revision {taken[2]}")
    time.sleep(0.5)
    leaving.beats = False
    if not leaving.deregister():
        raise deployment.NotRun("the leave isn't acknowledged")
    acknowledged_s = leaving.acknowledged_s
    time.sleep(0.5)
    deployed.push(11, routes(1.4), [SERVICE])
    time.sleep(0.5)
    if deployment.TROUBLE:
        store.away = True
        with store.changed:
            store.changed.notify_all()
        deployed.record("the store is away")
        time.sleep(AWAY_S)
        with store.changed:
            lost = store.restore(taken)
            store.away = False
        deployed.record(
            f"the store is back, era {store.era}; {lost} revisions are lost"
        )
        time.sleep(0.2)
        deployed.push(11, routes(1.4), [SERVICE])
    else:
        time.sleep(AWAY_S + 0.2)
    for number in (12, 13):
        time.sleep(0.3)
        deployed.push(number, routes(1 + number / 100), [SERVICE])
    first.signal(signal.SIGTERM)
    deployed.record(f"SIGTERM to the daemon of {first.name}")
    first.process.wait(deployed.bounds["grace_period_s"])
    first.start()
    restarted_s = time.monotonic()

    stop = threading.Event()

    def send(machine):
        while not stop.wait(0.1):
            machine.call("GET", HOST, "/lepu270/2f", 1500)

    senders = [
        threading.Thread(target=send, args=(machine,))
        for machine in deployed.machines
    ]
    for sender in senders:
        sender.start()
    time.sleep(max(0.0, acknowledged_s + SERVES_ON_S - time.monotonic()))
    stop.set()
    for sender in senders:
        sender.join()
    in_touch_s = restarted_s + deployed.bounds["contact_window_s"] + 1
    late_s = acknowledged_s + deployed.bounds["drain_timeout_s"]
    return [
        f"DRAIN: {run['id']} reaches {leaving.id} "
        f"{run['at_s'] - acknowledged_s:.2f} s after {first.name} "
        "acknowledged that it leaves"
        for run in leaving.runs
        if run["at_s"] > max(late_s, in_touch_s)
    ]


if __name__ == "__main__":
    deployment.main(pathlib.Path(__file__).parent, case)
