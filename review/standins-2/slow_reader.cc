// Case: the connection of a client that reads slowly is cut within an answer.
#include "mesh.hh"

using namespace review;

/// Receive buffer of a client; the links have small windows.
static constexpr int ReceiveBuffer = 4096;
/// Largest answer of the sheet.
static constexpr std::size_t LongAnswer = 30000;
static constexpr long TimeLimitMillis = 10000;
static constexpr double RouteTimeout = 5;
/// A slow client reads this many bytes ...
static constexpr std::size_t ChunkBytes = 3000;
/// ... in this time, in seconds: 10 kB a second.
static constexpr double ChunkTime = 0.3;

int main(int Argc, char **Argv) {
  options Options = readOptions(Argc, Argv);
  mesh Mesh(Options.Program, Options.Folder);
  if (!Mesh.startStore())
    return 2;
  Mesh.Store.put("config", "main", makeConfig(7, "market-board", RouteTimeout));
  Mesh.Work = [](machine &, const message &Request) {
    sleepFor(0.04);
    bool IsLong = Request.word(1) == "/stock/long";
    return std::string(IsLong ? LongAnswer : 400, 'x');
  };
  const char *Zones[] = {"qc-east-a", "qc-east-b", "qc-east-c"};
  for (int Index = 0; Index < 3; ++Index)
    Mesh.addMachine("side-" + std::to_string(Index + 1), Zones[Index],
                    "market-board");
  for (auto &Each : Mesh.Machines)
    Mesh.startNode(*Each);
  if (!Mesh.waitUntilReady(15))
    finish(Mesh, 2, "the nodes did not get ready");
  sleepFor(4);

  std::atomic<int> Whole{0}, Cut{0}, Unanswered{0}, Refused{0};
  std::vector<std::thread> Clients;
  for (int Client = 0; Client < 12; ++Client)
    Clients.emplace_back([&, Client] {
      machine &From = *Mesh.Machines[std::size_t(Client % 3)];
      sleepFor(0.3 * Client);
      connection Connection;
      if (!Connection.connect(From.Outbound, 1, ReceiveBuffer))
        return;
      // A kept connection: it has carried a request before.
      Connection.send(
          encodeRequest("GET", "/stock/0", newId(), TimeLimitMillis));
      auto Before = Connection.read(now() + 10);
      if (!Before || Before->status() != 200)
        return;
      sleepFor(0.2);
      // A request with a long answer, and a further idempotent one behind it.
      std::string Long = newId(), Next = newId();
      double SentAt = now();
      Connection.send(
          encodeRequest("GET", "/stock/long", Long, TimeLimitMillis) +
          encodeRequest("GET", "/stock/1", Next, TimeLimitMillis));
      Record.write("client " + std::to_string(Client) + " sends " + Long +
                   " and " + Next);
      while (Options.Trouble && Connection.Buffer.size() < LongAnswer)
        if (Connection.readSome(SentAt + 4.5, ChunkBytes))
          sleepFor(ChunkTime);
        else
          break;
      auto First = Connection.read(SentAt + 4.5);
      if (!First) {
        ++Cut;
        ++Unanswered;
        Record.write(
            "client " + std::to_string(Client) + ": answer to " + Long +
            " ends after " + std::to_string(Connection.Buffer.size()) +
            " bytes (" + Connection.LastError + ") at " +
            std::to_string(now() - SentAt) + " s; no answer to " + Next);
        return;
      }
      if (First->status() != 200) {
        ++Refused;
        return;
      }
      auto Second = Connection.read(SentAt + 4.5);
      ++(Second ? Whole : Unanswered);
      Record.write("client " + std::to_string(Client) + ": whole answer to " +
                   Long + ", " +
                   (Second ? std::to_string(Second->status())
                           : "none (" + Connection.LastError + ")") +
                   " to " + Next);
    });
  for (std::thread &Each : Clients)
    Each.join();
  std::string Result = std::to_string(Whole) + " clients got both answers, " +
                       std::to_string(Cut) + " answers ended early, " +
                       std::to_string(Unanswered) +
                       " requests of kept connections got no answer, " +
                       std::to_string(Refused) + " were refused";
  if (Whole + Unanswered + Refused < 12)
    finish(Mesh, 2, "not all clients ran: " + Result);
  // The rule allows three.
  finish(Mesh, Unanswered > 3 ? 1 : 0, Result);
}
