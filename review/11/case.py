"""A caller that reads slowly loses the answers of its kept connection."""
import asyncio
import pathlib
import random
import socket
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
import mesh as m  # noqa: E402

HOST = "board.example"
ANSWER_BYTES = 30000     # the largest answer on the sheet's routes
LISTING_LIMIT_S = 10.0   # time limit of `market-listing`
SALE_LIMIT_S = 5.0       # time limit of `harvest-sale`
PIECE_BYTES = 2000       # a slow caller reads one such piece
PIECE_GAP_S = 0.25       # in this time
RECEIVE_BUFFER = 8192    # bytes, the small window of a caller
LISTING_CALLERS = 3      # each sends two requests, one behind the other
SALE_CALLERS = 5         # each sends one request that may run once
ALLOWED = 3              # of the rule: "more than three times"
BOUNDS = {"ackS": 5, "catchupS": 6, "drainS": 2.5, "configS": 2.5}


async def answer_whole(machine, request):
    await asyncio.sleep(0.05)
    size = 100 if "first" in request.target else ANSWER_BYTES
    return machine.signed(request, 200, b"x" * size)


class SocketReader:
    """Reads from a socket at the pace of its caller."""

    def __init__(self, sock, gap_s):
        self.sock = sock
        self.gap_s = gap_s
        self.buffer = b""

    async def more(self):
        if self.gap_s:
            await asyncio.sleep(self.gap_s)
        piece = await asyncio.get_running_loop().sock_recv(self.sock,
                                                           PIECE_BYTES)
        if not piece:
            raise asyncio.IncompleteReadError(self.buffer, None)
        self.buffer += piece

    async def readuntil(self, end):
        while end not in self.buffer:
            await self.more()
        return await self.readexactly(self.buffer.index(end) + len(end))

    async def readexactly(self, size):
        while len(self.buffer) < size:
            await self.more()
        taken, self.buffer = self.buffer[:size], self.buffer[size:]
        return taken


class Caller:
    """A client with one connection that it keeps."""

    def __init__(self, mesh, machine):
        self.mesh = mesh
        self.machine = machine
        self.sent = []
        self.answered = []

    async def connect(self):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                             RECEIVE_BUFFER)
        self.sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(
            self.sock, (m.HOST, self.machine.ports["outbound"]))
        self.reader = SocketReader(self.sock, 0)

    def write(self, text):
        self.mesh.record.write(f"client at {self.machine.name}: {text}")

    async def send(self, method, target, limit_s):
        call_id = f"{random.getrandbits(64):016x}"
        self.write(f"sends {call_id} {method} {target}")
        length = "Content-Length: 0\r\n" if method == "POST" else ""
        await asyncio.get_running_loop().sock_sendall(
            self.sock,
            (f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
             f"Request-Id: {call_id}\r\n{length}"
             f"Deadline-Ms: {int(limit_s * 1000)}\r\n\r\n").encode())
        return call_id

    async def read_answer(self, call_id, limit_s):
        status, headers, body = await asyncio.wait_for(
            m.read_response(self.reader), limit_s)
        self.write(f"{call_id} gets {status}, {len(body)} bytes")
        return status == 200 and headers.get("request-id") == call_id

    async def play(self, method, target, count, limit_s, slow):
        await self.connect()
        first = await self.send("GET", "/list/first", limit_s)
        await self.read_answer(first, limit_s)
        sent_at = m.now()
        for _ in range(count):
            self.sent.append(await self.send(method, target, limit_s))
        if slow:
            self.reader.gap_s = PIECE_GAP_S
            self.write(f"reads {PIECE_BYTES} bytes every {PIECE_GAP_S} s")
        try:
            for call_id in self.sent:
                left = limit_s - (m.now() - sent_at)
                if await self.read_answer(call_id, left):
                    self.answered.append(call_id)
        except (OSError, asyncio.IncompleteReadError) as end:
            self.write(f"the connection ends after {m.now() - sent_at:.2f} s: "
                       f"{end!r}")
        except asyncio.TimeoutError:
            # The caller has run out of time: nobody else is to blame.
            self.write("its time limit is over")
            self.answered = list(self.sent)
        self.sock.close()


async def play(mesh, trouble):
    mesh.configure(1, [
        m.route("listing", HOST, "/list/", "idempotent", "board",
                LISTING_LIMIT_S, 1.5),
        m.route("sale", HOST, "/sale/", "non_idempotent", "board",
                SALE_LIMIT_S, 0.8)], ["board"])
    for name in ("n1", "n2", "n3"):
        machine = mesh.add(name, "board")
        machine.behave = lambda request, at=machine: answer_whole(at, request)
        await machine.start()
    await mesh.wait_ready()
    # Calm for longer than settleWindowS, so that all machines are in touch.
    await asyncio.sleep(4)
    entry = mesh.machines[0]
    callers = [Caller(mesh, entry)
               for _ in range(LISTING_CALLERS + SALE_CALLERS)]
    await asyncio.gather(*(
        [each.play("GET", "/list/long", 2, LISTING_LIMIT_S, trouble)
         for each in callers[:LISTING_CALLERS]] +
        [each.play("POST", "/sale/long", 1, SALE_LIMIT_S, trouble)
         for each in callers[LISTING_CALLERS:]]))
    if entry.process.poll() is not None:
        raise m.NoRun("the node has ended")
    lost = [call_id for each in callers for call_id in each.sent
            if call_id not in each.answered and mesh.runs_of(call_id)]
    mesh.record.write(f"{len(lost)} requests from kept connections were run by "
                      "a server, and their connection ended without a whole "
                      f"answer; allowed: {ALLOWED}")
    return [f"LOST: {each}" for each in lost] if len(lost) > ALLOWED else []


m.run_case(HERE, play, BOUNDS)
