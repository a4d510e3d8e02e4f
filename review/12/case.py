"""The store comes back from a copy, and the nodes keep a configuration that is
no longer the newest one."""
import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
import mesh as m  # noqa: E402

HOST = "shop.example"
STORM_GAP_S = 0.4    # between the configurations that the copy lacks
AWAY_S = 1.5         # how long the store is away
WATCH_S = 12         # how long requests are sent after settleWindowS


def routes(version):
    """Each version adds a route; the fifth also moves `/shop/` to `beta`."""
    shop = "beta" if version >= 5 else "alpha"
    table = [m.route("shop", HOST, "/shop/", "idempotent", shop, 2, 0.5)]
    for each in range(2, version + 1):
        table.append(m.route(f"added-{each}", HOST, f"/added{each}/",
                             "idempotent", "beta", 2, 0.5))
    return table


def configure(mesh, version):
    mesh.configure(version, routes(version), ["alpha", "beta"])


async def play(mesh, trouble):
    configure(mesh, 1)
    for name, service in (("n1", "alpha"), ("n2", "alpha"), ("n3", "beta"),
                          ("n4", "beta")):
        await mesh.add(name, service).start()
    await mesh.wait_ready()
    await asyncio.sleep(4)

    copy = mesh.store.copy()
    mesh.record.write(f"store: a copy is made at revision {mesh.store.revision}")
    for version in (2, 3, 4):
        configure(mesh, version)
        await asyncio.sleep(STORM_GAP_S)
    await asyncio.sleep(1)
    for machine in mesh.machines:
        _, status, _, _ = await machine.send("GET", "/added4/x", HOST)
        if status != 200:
            raise m.NoRun(f"version 4 is not in force at {machine.name}")

    if trouble:
        mesh.record.write("store: is away")
        mesh.store.http.stop()
        await asyncio.sleep(AWAY_S)
        mesh.store.come_back_from(copy)
        await mesh.store.http.start()
        mesh.record.write("store: is back from the copy at revision "
                          f"{mesh.store.revision}, era {mesh.store.era}")
        # What the operator wrote is written again, then its next change.
        configure(mesh, 4)
    configure(mesh, 5)
    acked = m.now()

    # All machines are in touch settleWindowS after the store is back, and the
    # bound of the configuration has passed too.
    await asyncio.sleep(mesh.bounds["settleWindowS"] + mesh.bounds["configS"])
    violations = []
    end = m.now() + WATCH_S
    while m.now() < end:
        for machine in mesh.machines:
            since = m.now() - acked
            call, status, _, _ = await machine.send("GET", "/added5/x", HOST)
            if status == 404:
                violations.append(
                    f"CONFIG: {call} at {machine.name} got 404 on a route of "
                    f"version 5, {since:.1f} s after its ack")
            call, status, _, _ = await machine.send("GET", "/shop/x", HOST)
            if any(run[2].service == "alpha" for run in mesh.runs_of(call)):
                violations.append(
                    f"CONFIG: {call} at {machine.name} was run by alpha, "
                    f"{since:.1f} s after the ack of version 5")
        await asyncio.sleep(0.5)
    return violations


m.run_case(HERE, play)
