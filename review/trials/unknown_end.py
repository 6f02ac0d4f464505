"""A trial, not a case: an end of an unknown upstream is acknowledged.

An upstream crashes; another starts at its address, and deregisters before
its first heartbeat, which is late, has arrived.  Its daemon is stopped and
started again, as planned; then the heartbeat arrives.
"""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins"))

import deployment  # noqa: E402

HOST = "jepu9.example"
SERVICE = "huvo11a"
SERVES_ON_S = 14.0


def work_s(path):
    """Return how long an upstream takes for a request."""
    return 0.02


def case(deployed):
    """Play the trial, and return the breaches."""
    routes = [deployment.route("r-one", HOST, "/lepu270/", SERVICE)]
    deployed.push(10, routes, [SERVICE])
    first, *others = [
        deployed.add(SERVICE, zone)
        for zone in ("sherwood", "charnwood", "wyre", "cannock")
    ]
    before = deployed.add_upstream(first, work_s)
    for machine in others:
        deployed.add_upstream(machine, work_s)
    deployed.wait_serving(
        [
            lambda m=machine: m.call("GET", HOST, "/lepu270/2f", 1500).stamped
            for machine in deployed.machines
        ]
    )
    time.sleep(3)
    before.beats = False
    before.crash()
    time.sleep(1)
    leaving = deployed.add_upstream(first, work_s, heartbeats=False)
    time.sleep(0.8)
    if not leaving.deregister():
        raise deployment.NotRun("the leave isn't acknowledged")
    acknowledged_s = leaving.acknowledged_s
    first.signal(signal.SIGTERM)
    first.process.wait(deployed.bounds["grace_period_s"])
    first.start()
    restarted_s = time.monotonic()
    time.sleep(2)
    if deployment.TROUBLE:
        leaving.beat()
        deployed.record(f"the late heartbeat of {leaving.id} arrives")
    while time.monotonic() < acknowledged_s + SERVES_ON_S:
        first.call("GET", HOST, "/lepu270/2f", 1500)
        time.sleep(0.1)
    in_touch_s = restarted_s + deployed.bounds["contact_window_s"] + 1
    return [
        f"DRAIN: {run['id']} reaches {leaving.id} "
        f"{run['at_s'] - acknowledged_s:.2f} s after {first.name} "
        "acknowledged that it leaves"
        for run in leaving.runs
        if run["at_s"] > in_touch_s
    ]


if __name__ == "__main__":
    deployment.main(pathlib.Path(__file__).parent, case)
