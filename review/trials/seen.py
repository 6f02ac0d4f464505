"""Trials, not a case: what was seen without a named disruption.

A path with an encoded slash is matched as if it were decoded, a request for
the path of the guards' probes isn't run, and SIGHUP ends a daemon that starts.
"""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins"))

import deployment  # noqa: E402

HOST = "jepu9.example"
SERVICES = ("huvo11a", "wuno96b")
SIGNAL_AFTER_S = 0.1


def case(deployed):
    """Play the trials, and return what was seen."""
    first, second = SERVICES
    routes = [
        deployment.route("r-all", HOST, "/", first),
        deployment.route("r-one", HOST, "/x/", first),
        deployment.route("r-two", HOST, "/x/y/", second, "non_idempotent"),
    ]
    deployed.push(10, routes, SERVICES)
    machines = [deployed.add(service, "sherwood") for service in SERVICES]
    for machine in machines:
        deployed.add_upstream(machine, lambda path: 0.02)
    time.sleep(4)
    seen = []
    answer = machines[1].call("GET", HOST, "/guard/v1/probe", 1500)
    if not answer.stamped:
        seen.append(f"a client's /guard/v1/probe gets {answer.status}")
    answer = machines[0].call("GET", HOST, "/x/y%2F1", 1500)
    if answer.body.startswith(second.encode()):
        seen.append(f"/x/y%2F1 is run by {second}, which has /x/y/ only")
    machines[0].signal(signal.SIGKILL)
    machines[0].process.wait()
    machines[0].start()
    time.sleep(SIGNAL_AFTER_S)
    machines[0].signal(signal.SIGHUP)
    time.sleep(0.5)
    if machines[0].process.poll() is not None:
        seen.append(f"SIGHUP {SIGNAL_AFTER_S} s after the start ends a daemon")
    return seen


if __name__ == "__main__":
    deployment.main(pathlib.Path(__file__).parent, case)
