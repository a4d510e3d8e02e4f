"""A node that has been told to stop ends with answers that it hasn't passed on,
because they wait behind a longer request of their connection."""
import asyncio
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
import mesh as m  # noqa: E402

HOST = "resolver.example"
TIME_LIMIT_S = 12.0    # of `boundary-fetch`
TIMEOUT_S = 6.0        # of its route
LONG_WORK_S = 5.9      # the largest on the sheet is 6.1
SHORT_WORK_S = 1.0     # the mean on the sheet
CONNECTIONS = 4
BEHIND = 2             # short requests behind the long one
BEFORE_STOP_S = 0.2    # from the requests to the SIGTERM
BOUNDS = {"ackS": 5, "catchupS": 6, "drainS": 2.5, "configS": 2.5}


class Servers:
    """Note when the server of a request has ended its work."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.ended = {}

    async def serve(self, machine, request):
        long = request.target.endswith("long")
        await asyncio.sleep(LONG_WORK_S if long else SHORT_WORK_S)
        call_id = request.headers["request-id"]
        self.ended[call_id] = m.now()
        self.mesh.record.write(f"{machine.name}: answers {call_id}")
        return machine.signed(request, 200, b"boundary")


class Client:
    """Sends requests behind each other on one connection."""

    def __init__(self, mesh, machine):
        self.mesh = mesh
        self.machine = machine
        self.sent = []
        self.answers = {}

    def write(self, text):
        self.mesh.record.write(f"client at {self.machine.name}: {text}")

    async def play(self):
        reader, writer = await asyncio.open_connection(
            m.HOST, self.machine.ports["outbound"])
        for target in ["/fetch/long"] + ["/fetch/short"] * BEHIND:
            call_id = f"{random.getrandbits(64):016x}"
            self.sent.append(call_id)
            self.write(f"sends {call_id} GET {target}")
            writer.write(
                (f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\n"
                 f"Request-Id: {call_id}\r\n"
                 f"Deadline-Ms: {int(TIME_LIMIT_S * 1000)}\r\n\r\n").encode())
        try:
            for call_id in self.sent:
                status, _, _ = await asyncio.wait_for(
                    m.read_response(reader), TIME_LIMIT_S)
                self.answers[call_id] = status
                self.write(f"{call_id} gets {status}")
        except (OSError, asyncio.IncompleteReadError,
                asyncio.TimeoutError) as end:
            self.write(f"the connection ends: {end!r}")
        writer.close()


async def play(mesh, trouble):
    mesh.configure(1, [m.route("fetch", HOST, "/fetch/", "idempotent",
                               "resolver", TIMEOUT_S, 6.0)], ["resolver"])
    servers = Servers(mesh)
    for name in ("n1", "n2", "n3"):
        machine = mesh.add(name, "resolver")
        machine.behave = lambda request, at=machine: servers.serve(at, request)
        await machine.start()
    await mesh.wait_ready()
    await asyncio.sleep(4)
    entry = mesh.machines[0]
    clients = [Client(mesh, entry) for _ in range(CONNECTIONS)]
    tasks = [asyncio.ensure_future(each.play()) for each in clients]
    await asyncio.sleep(BEFORE_STOP_S)
    stopped = m.now()
    if trouble:
        mesh.record.write("n1: SIGTERM")
        entry.process.send_signal(signal.SIGTERM)
        while entry.process.poll() is None:
            if m.now() > stopped + mesh.bounds["graceS"]:
                mesh.record.write("n1: SIGKILL")
                entry.process.kill()
                entry.process.wait()
            await asyncio.sleep(0.02)
        mesh.record.write(f"n1: its process has ended {m.now() - stopped:.2f} s "
                          "after the SIGTERM")
    await asyncio.gather(*tasks)
    # Not counted: a request at which its server was still at work in the last
    # sixth of graceS.
    excused = stopped + mesh.bounds["graceS"] * 5 / 6
    lost = [call_id for each in clients for call_id in each.sent
            if call_id not in each.answers and
            servers.ended.get(call_id, excused) < excused]
    return [f"LOST: {each}, answered by its server "
            f"{servers.ended[each] - stopped:.2f} s after the SIGTERM"
            for each in lost]


m.run_case(HERE, play, BOUNDS)
