"""The last tenant's key is taken away, and a daemon is restarted."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab2"))

import lab as stand_ins  # noqa: E402

HOST, PATH, KEY, TENANT = "jepu9.example", "/puka111/", "hhacrudd", "pulo780"
REVOKE_S = 5.0
LAYOUT = [
    ("bts-a", "sk-west", "huvo11a"),
    ("bts-b", "sk-west", "huvo11a"),
    ("kse-a", "sk-east", "kafi81c"),
]


def configuration(version, tenants):
    return {
        "version": version,
        "routes": [{
            "name": "r-1", "host": HOST, "path_prefix": PATH,
            "kind": "non_idempotent", "timeout_s": 2,
            "target_latency_s": 0.9, "priority": 1, "service": "huvo11a",
            "max_attempts": 2, "allow_anonymous": False,
        }],
        "services": [
            {
                "name": name, "health_check_path": "/health",
                "max_connections": 550, "protocol": "h1", "tls": False,
            }
            for name in ("huvo11a", "kafi81c")
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 67108864,
            "header_timeout_s": 3, "idle_timeout_s": 15,
        },
        "tenants": tenants,
    }


async def case(trouble, line):
    bounds = {**stand_ins.BOUNDS, **stand_ins.TENANT_BOUNDS}
    lab = stand_ins.Lab(LAYOUT, bounds)
    calls = []

    async def send(machine):
        calls.append(await lab.call(
            machine, HOST, PATH + "x", "POST", 2000,
            [("Authorization", f"Token {KEY}")], b"order",
        ))

    try:
        await lab.start(
            configuration("r7", [{"name": TENANT, "api_keys": [KEY]}])
        )
        await asyncio.sleep(2.0)
        for machine in lab.machines:
            await send(machine)
        if not all(call["status"] == 200 for call in calls):
            raise stand_ins.CannotRun(f"not served at first: {calls}")
        await lab.store.write("config", "main", configuration("r8", []))
        revoked_s = time.monotonic()
        await asyncio.sleep(2.0)
        if trouble:
            # A planned stop, and a start with the same settings.
            stopped = lab.machines[0]
            stopped.signal(signal.SIGTERM)
            while stopped.process.poll() is None:
                await asyncio.sleep(0.05)
            stopped.start()
            await lab.wait_ready([stopped])
        wait_s = revoked_s + 2 * REVOKE_S - time.monotonic()
        await asyncio.sleep(max(0.0, wait_s))
        for _ in range(10):
            for machine in lab.machines:
                await send(machine)
            await asyncio.sleep(0.2)
    finally:
        await lab.close()
    ran = {run["id"]: run for run in lab.runs}
    late = []
    for call in calls:
        run = ran.get(call["id"])
        since_s = call["sent"] - revoked_s
        if run and since_s > REVOKE_S:
            late.append(call)
        line(
            f"{since_s:8.3f} {call['machine']} {call['id']} answered "
            f"{call['status']} {call['error']} "
            + (
                f"run by {run['upstream']}, X-Tenant {run['tenant']!r}, "
                f"Authorization {run['authorization']!r}" if run
                else "not run"
            )
        )
    passed_on = sum(bool(run["authorization"]) for run in lab.runs)
    if trouble:
        line(f"restarted: {lab.machines[0].name}")
    line("times are seconds since the store acknowledged the version that "
         "took the key away")
    line(f"sent with the key over {REVOKE_S:.0f} s after that and run: "
         f"{len(late)}; runs to which the key was passed on: {passed_on}")
    return bool(late)


if __name__ == "__main__":
    stand_ins.main(case, HERE)
