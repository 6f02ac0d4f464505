"""A drill of the store: an accepted configuration is never applied.

The store is away for a moment and comes back from a copy some seconds old.
The operator writes again what it had written, then its next change, whose
revision is one that had been given out before.
"""

import pathlib
import time

import deployment

HOST = "jepu9.example"
SERVICES = ("huvo11a", "wuno96b")
COPY_AGE_S = 3.0
AWAY_S = 0.7


def routes(moved_to, timeout_s=1.5):
    """Return the routes; one of them leads to the given service."""
    return [
        deployment.route("r-fixed", HOST, "/lepu270/", SERVICES[0]),
        deployment.route(
            "r-moved", HOST, "/xapu221/", moved_to, timeout_s=timeout_s
        ),
    ]


def served_by(machine, path):
    """Return the service that a request of a client is run by."""
    answer = machine.call("GET", HOST, path, 1500)
    return answer.body.split()[0].decode() if answer.stamped else ""


def case(deployed):
    """Play the case, and return the breaches."""
    deployed.push(10, routes(SERVICES[0]), SERVICES)
    deployed.add(SERVICES[0], "sherwood")
    for zone in ("charnwood", "wyre", "cannock", "sherwood"):
        deployed.add(SERVICES[1], zone)
    upstreams = [
        deployed.add_upstream(machine, lambda path: 0.02)
        for machine in deployed.machines
    ]
    deployed.wait_serving(
        [
            lambda m=machine, p=path: bool(served_by(m, p))
            for machine in deployed.machines
            for path in ("/lepu270/2f", "/xapu221/2f")
        ]
    )
    time.sleep(4)
    store = deployed.store

    taken = store.take_copy()
    deployed.record(f"the store's copy is taken at revision {taken[2]}")
    time.sleep(0.5)
    # A write of the system: the record of an upstream that leaves.
    upstreams[2].state = "draining"
    if not upstreams[2].beat():
        raise deployment.NotRun("the leave isn't acknowledged")
    deployed.push(11, routes(SERVICES[0], 1.4), SERVICES)
    time.sleep(COPY_AGE_S - 0.6)

    if deployment.TROUBLE:
        store.on_call = deployed.record
        store.away = True
        deployed.record("the store is away")
        with store.changed:
            store.changed.notify_all()
        time.sleep(AWAY_S)
        with store.changed:
            lost = store.restore(taken)
            store.away = False
            deployed.record(
                f"the store is back at revision {store.revision}, era "
                f"{store.era}; {lost} revisions are lost"
            )
            deployed.push(11, routes(SERVICES[0], 1.4), SERVICES)
            # Its changes that were due meanwhile, one for each lost write of
            # the system; the last of them moves the route.
            for number in range(12, 10 + lost):
                deployed.push(
                    number, routes(SERVICES[0], 1 + number / 100), SERVICES
                )
            accepted_s = deployed.push(
                10 + lost, routes(SERVICES[1]), SERVICES
            )
    else:
        time.sleep(AWAY_S)
        accepted_s = deployed.push(12, routes(SERVICES[1]), SERVICES)

    bounds = deployed.bounds
    calm_s = (
        bounds["config_apply_s"]
        + bounds["max_stretch_s"]
        + bounds["contact_window_s"]
    )
    time.sleep(calm_s)
    store.on_call = lambda text: None
    breaches = []
    for _ in range(6):
        for machine in deployed.machines:
            late_s = time.monotonic() - accepted_s
            service = served_by(machine, "/xapu221/2f")
            if service == SERVICES[0]:
                breaches.append(
                    f"CONFIG: {late_s:.1f} s after the acknowledgement, the "
                    f"daemon of {machine.name} has a request run by "
                    f"{service}, as only older versions allow"
                )
        time.sleep(1)
    return breaches


if __name__ == "__main__":
    deployment.main(pathlib.Path(__file__).parent, case)
