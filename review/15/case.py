"""A configuration raises the limit of a body, and a kept connection goes on to
refuse bodies that the new limit allows."""
import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
import mesh as m  # noqa: E402

HOST = "shop.example"
CONNECTIONS = 12
OLD_LIMIT, NEW_LIMIT = 16384, 1048576
BODY = b"x" * 40000
LIMIT_S = 2.5


def configure(mesh, version, max_body):
    mesh.configure(version, [m.route("order", HOST, "/order/", "non_idempotent",
                                     "shop", LIMIT_S, 0.6)], ["shop"],
                   {"maxHeaderBytes": 16384, "maxBodyBytes": max_body,
                    "headerTimeoutS": 3, "idleTimeoutS": 15})


class Connection:
    def __init__(self, mesh, machine):
        self.mesh = mesh
        self.machine = machine

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            m.HOST, self.machine.ports["outbound"])

    async def send(self, body):
        call_id = f"{random.getrandbits(64):016x}"
        self.mesh.record.write(f"client at {self.machine.name}: sends {call_id} "
                               f"with {len(body)} bytes")
        self.writer.write(
            (f"POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\n"
             f"Request-Id: {call_id}\r\nContent-Length: {len(body)}\r\n"
             f"Deadline-Ms: {int(LIMIT_S * 1000)}\r\n\r\n").encode() + body)
        status, _, _ = await asyncio.wait_for(m.read_response(self.reader),
                                              LIMIT_S + 1)
        self.mesh.record.write(f"client at {self.machine.name}: {call_id} gets "
                               f"{status}")
        return call_id, status


async def play(mesh, trouble):
    configure(mesh, 1, OLD_LIMIT if trouble else NEW_LIMIT)
    machines = [mesh.add(name, "shop") for name in ("n1", "n2", "n3")]
    for machine in machines:
        await machine.start()
    await mesh.wait_ready()
    await asyncio.sleep(4)
    kept = [Connection(mesh, machines[0]) for _ in range(CONNECTIONS)]
    for each in kept:
        await each.open()
        await each.send(b"small")
    configure(mesh, 2, NEW_LIMIT)
    await asyncio.sleep(mesh.bounds["configS"] + 1)
    results = [await each.send(BODY) for each in kept]
    fresh = Connection(mesh, machines[0])
    await fresh.open()
    await fresh.send(BODY)
    denied = [call for call, status in results if status == 413]
    allowed = 5 + (2 * CONNECTIONS + 1) / 500
    return [f"DENIED: {call} got 413 though version 2 allows its body"
            for call in denied] if len(denied) > allowed else []


m.run_case(HERE, play)
