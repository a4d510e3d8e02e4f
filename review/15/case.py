"""The store comes back from a copy during a roll-out, its status can't be written
any more, and a bad version isn't taken back."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
import mesh as m  # noqa: E402

HOST = "shop.example"
DURATION_S = 16.0    # of the order
COPY_AFTER_S = 7.0   # from the order to the copy of the store
AWAY_AFTER_S = 0.15  # after all requests have been moved to the new version
AWAY_S = 1.5         # how long the store is away
BAD_AFTER_S = 0.3    # after all requests have been moved to the new version
WATCH_S = 15.0       # from the return of the store to the end of the clients
BAD_EVERY = 5        # of the new version's answers, one in so many is a failure
GAP_S = 0.05         # between two requests of the clients of a machine


class Version:
    """The servers of the new version turn bad at a moment."""

    def __init__(self):
        self.bad = False
        self.answers = 0
        self.bad_at = []

    async def serve(self, machine, request):
        await asyncio.sleep(0.02)
        self.answers += 1
        if self.bad and self.answers % BAD_EVERY == 0:
            self.bad_at.append(m.now())
            return machine.signed(request, 500, b"failed")
        return machine.signed(request, 200, b"ok " + machine.version.encode())


async def play(mesh, trouble):
    mesh.configure(1, [m.route("shop", HOST, "/shop/", "idempotent", "shop",
                               2.0, 0.5, attempts=1)], ["shop"])
    async def add(name, version):
        machine = mesh.add(name, "shop", version=version)
        await machine.start()
        return machine

    for name in ("n1", "n2", "n3", "n4"):
        await add(name, "v1")
    await mesh.wait_ready()
    await asyncio.sleep(4)

    sent = []    # time, id and machine of each request
    stop = asyncio.Event()
    pending = set()

    async def one(machine):
        at = m.now()
        call_id, _, _, _ = await machine.send("GET", "/shop/x", HOST, 2.0)
        sent.append((at, call_id, machine.name))

    async def clients(machine):
        while not stop.is_set():
            task = asyncio.ensure_future(one(machine))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(GAP_S)

    tasks = [asyncio.ensure_future(clients(each)) for each in mesh.machines]
    await asyncio.sleep(1)

    mesh.store.put("rollouts", "shop", {"service": "shop",
                                        "targetVersion": "v2",
                                        "durationS": DURATION_S})
    ordered = m.now()
    version = Version()
    for name in ("n5", "n6"):
        machine = await add(name, "v2")
        machine.behave = lambda request, at=machine: version.serve(at, request)
        tasks.append(asyncio.ensure_future(clients(machine)))

    def status():
        return mesh.store.get("rollouts", "shop")["status"] or {}

    await asyncio.sleep(ordered + COPY_AFTER_S - m.now())
    copy = mesh.store.copy()
    mesh.record.write(f"store: a copy is made at revision {mesh.store.revision}")
    while status().get("share") != 1:
        if m.now() > ordered + DURATION_S:
            raise m.NoRun("the new version never got all requests")
        await asyncio.sleep(0.02)
    mesh.record.write("all requests go to v2")
    await asyncio.sleep(AWAY_AFTER_S)
    if trouble:
        mesh.record.write("store: is away")
        mesh.store.http.stop()
    await asyncio.sleep(BAD_AFTER_S - AWAY_AFTER_S)
    version.bad = True
    mesh.record.write("v2 turns bad")
    await asyncio.sleep(AWAY_AFTER_S + AWAY_S - BAD_AFTER_S)
    if trouble:
        # The order was written before the copy was made.
        mesh.store.come_back_from(copy)
        await mesh.store.http.start()
        mesh.record.write("store: is back from the copy at revision "
                          f"{mesh.store.revision}, era {mesh.store.era}")
    back = m.now()
    await asyncio.sleep(WATCH_S)
    stop.set()
    await asyncio.gather(*tasks, *pending)
    mesh.record.write(f"the roll-out is now {status().get('state')}")

    # The core is stable, and all machines are in touch, settleWindowS after the
    # store is back.
    stable = back + mesh.bounds["settleWindowS"] if trouble else ordered
    new = {run[1] for run in mesh.runs if run[2].version == "v2"}
    bad_at = [at for at in version.bad_at if at >= stable]
    if len(bad_at) < 50:
        mesh.record.write(f"{len(bad_at)} bad answers with a stable core")
        return []
    bound = bad_at[49] + mesh.bounds["rollbackS"]
    late = [call_id for at, call_id, _ in sent if call_id in new and at > bound]
    mesh.record.write(f"{len(late)} requests were sent later than rollbackS after "
                      "the 50th bad answer and reached v2")
    return [f"EXPOSURE: {len(late)} requests reached v2 later than rollbackS after "
            "its 50th bad answer"] if late else []


m.run_case(HERE, play)
