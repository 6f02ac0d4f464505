"""A tenant's quota while the daemons' processes are killed at one moment."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab2"))

import lab as stand_ins  # noqa: E402

HOST, PATH, KEY, TENANT = "jepu9.example", "/puka111/", "hhacrudd", "pulo780"
RATE = int(os.environ.get("RATE", "100"))
BURST = int(os.environ.get("BURST", "200"))
USUAL = RATE / 1.6
"""The tenant's usual demand: ``quota_x`` of the site file is 1.6."""

HOT_X = float(os.environ.get("HOT_X", "7.5"))
"""The risen demand, times the usual; ``hot_tenant`` has up to 7.5 there."""

DOWN_S = float(os.environ.get("DOWN", "0.2"))
"""The delay before a killed daemon is started again."""

HOME = int(os.environ.get("HOME_AT", "-1"))
"""The machine of all of the tenant's clients; its daemon alone is killed.
Without it they are on all machines, and all daemons are killed."""

QUIET_S, HOT_AFTER_S = 3.0, 5.0
HOT_BEFORE_S = float(os.environ.get("BEFORE", "1"))

LAYOUT = [
    ("bts-a", "sk-west", "huvo11a"),
    ("bts-b", "sk-west", "huvo11a"),
    ("kse-a", "sk-east", "huvo11a"),
    ("kse-b", "sk-east", "huvo11a"),
]
CONFIGURATION = {
    "version": "r7",
    "routes": [{
        "name": "r-1", "host": HOST, "path_prefix": PATH,
        "kind": "idempotent", "timeout_s": 2, "target_latency_s": 0.9,
        "priority": 1, "service": "huvo11a", "max_attempts": 2,
        "allow_anonymous": False,
    }],
    "services": [{
        "name": "huvo11a", "health_check_path": "/health",
        "max_connections": 550, "protocol": "h1", "tls": False,
    }],
    "limits": {
        "max_header_bytes": 16384, "max_body_bytes": 67108864,
        "header_timeout_s": 3, "idle_timeout_s": 15,
    },
    "tenants": [{
        "name": TENANT, "api_keys": [KEY], "priority": 1,
        "rate_per_s": RATE, "burst": BURST,
    }],
}


def most_in_window(runs, window_s):
    """Return the most requests that were sent and run within one window."""
    best = (0, 0.0)
    for begin in sorted({sent for sent, _ in runs}):
        count = sum(
            sent >= begin and at <= begin + window_s for sent, at in runs
        )
        best = max(best, (count, begin))
    return best


async def case(trouble, line):
    bounds = {**stand_ins.BOUNDS, **stand_ins.TENANT_BOUNDS}
    lab = stand_ins.Lab(LAYOUT, bounds)
    calls = []

    async def send(machine):
        calls.append(await lab.call(
            machine, HOST, PATH + "x", deadline_ms=2000,
            headers=[("Authorization", f"Token {KEY}")],
        ))

    async def load(per_s, for_s, tasks):
        begin_s = time.monotonic()
        for number in range(int(per_s * for_s)):
            wait_s = begin_s + number / per_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            machine = lab.machines[HOME if HOME >= 0 else number % 4]
            tasks.append(asyncio.create_task(send(machine)))

    tasks = []
    try:
        await lab.start(CONFIGURATION, slots=32, work_s=0.01)
        await asyncio.sleep(2.0)
        await load(USUAL, QUIET_S, tasks)
        hot_s = time.monotonic()
        hot = asyncio.create_task(
            load(HOT_X * USUAL, HOT_BEFORE_S + HOT_AFTER_S, tasks)
        )
        await asyncio.sleep(HOT_BEFORE_S)
        down = 0.0
        if trouble:
            killed_s = time.monotonic()
            killed = lab.machines if HOME < 0 else [lab.machines[HOME]]
            for machine in killed:
                machine.process.kill()
            for machine in killed:
                machine.process.wait()
            await asyncio.sleep(DOWN_S)
            for machine in killed:
                machine.start()
            await lab.wait_ready()
            down = time.monotonic() - killed_s
        await hot
        await asyncio.gather(*tasks)
    finally:
        await lab.close()
    ran = {run["id"]: run["at"] for run in lab.runs}
    runs = [(c["sent"], ran[c["id"]]) for c in calls if c["id"] in ran]
    most, begin = most_in_window(runs, 5.0)
    allowed = (RATE * 5 + BURST) * 1.1 + 20
    for c in sorted(calls, key=lambda c: c["sent"]):
        at = ran.get(c["id"])
        line(
            f"{c['sent'] - hot_s:8.3f} {c['machine']} {c['id']} answered "
            f"{c['status']} {c['error']} ran "
            + (f"{at - hot_s:.3f}" if at else "-")
        )
    line(f"sent {len(calls)}, run {len(runs)} of tenant {TENANT}, of them "
         f"{sum(at >= hot_s for _, at in runs)} from the rise of its demand")
    line(f"killed {HOT_BEFORE_S if trouble else 'never'} s after the rise; all "
         f"ready again after {down:.2f} s")
    line(f"most in 5 s: {most}, from {begin - hot_s:.2f} s; the rule allows "
         f"{allowed:.0f} = ({RATE} x 5 + {BURST}) x 1.1 + 20")
    return most > allowed


if __name__ == "__main__":
    stand_ins.main(case, HERE)
