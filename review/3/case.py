"""A drill of the store undoes a leave that a daemon has acknowledged.

An upstream deregisters, then goes on serving for some seconds.  The store
comes back from a copy that is older than the leave, and the daemons are
started again: they send the upstream new requests.
"""

import os
import pathlib
import signal
import threading
import time

import deployment

HOST = "jepu9.example"
SERVICE = "huvo11a"
AWAY_S = 0.7
RESTART_S = 0.3
SERVES_ON_S = 13.0
"""How long the leaving upstream goes on serving after the acknowledgement."""

KILLED = os.environ.get("KILLED", "all")


def case(deployed):
    """Play the case, and return the breaches."""
    routes = [deployment.route("r-one", HOST, "/lepu270/", SERVICE)]
    deployed.push(10, routes, [SERVICE])
    first = deployed.add(SERVICE, "sherwood")
    deployed.add(SERVICE, "charnwood")
    deployed.add(SERVICE, "wyre", "west")
    leaving, *_ = [
        deployed.add_upstream(machine, lambda path: 0.05)
        for machine in deployed.machines
    ]
    deployed.wait_serving([
        lambda m=machine: m.call("GET", HOST, "/lepu270/2f", 1500).stamped
        for machine in deployed.machines
    ])
    time.sleep(4)

    store = deployed.store
    taken = store.take_copy()
    deployed.record(f"the store's copy is taken at revision {taken[2]}")
    time.sleep(0.5)
    leaving.beats = False
    if not leaving.deregister():
        raise deployment.NotRun("the leave isn't acknowledged")
    acknowledged_s = leaving.acknowledged_s
    time.sleep(1.5)
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
        time.sleep(1)
    killed = deployed.machines if KILLED == "all" else [first]
    if deployment.TROUBLE or KILLED:
        for machine in killed:
            machine.signal(signal.SIGKILL)
            machine.process.wait()
            deployed.record(f"the daemon of {machine.name} is killed")
        time.sleep(RESTART_S)
        for machine in killed:
            machine.start()
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
