-- A node that is stopped under load completes its calls and exits; no call is
-- aborted or lost, and its server gets no new calls afterwards.
local mesh = require("mesh")
local caller = require("caller")
local serving = require("serving")
local site = serving.start_site("commandes", 3, { work_ms = 20 })
for _, node in ipairs(site.nodes) do
  mesh.wait_until(node.name .. " serves", 30000, function()
    return http("POST", node.caller, "/commandes", "warm") == 200
  end)
end
local load = caller.start({ targets = serving.caller_addresses(site), rate = 40,
  duration_ms = 6000, retries = 2,
  calls = { { method = "POST", path = "/commandes" } } })
local stopped = site.nodes[1]
local before = serving.read_counters(stopped.server).ran
mesh.wait_until("the node forwards calls to its server", 30000, function()
  return serving.read_counters(stopped.server).ran > before
end)
signal(stopped.pid, mesh.SIGTERM)
assert(wait_exit(stopped.pid, 30000) == 0, "the node did not stop gracefully")
local last = serving.read_counters(stopped.server).ran
local result = caller.finish(load)
assert(result.cut == 0 and caller.lost_calls(result) == 0, json_encode(result))
assert(serving.read_counters(stopped.server).ran == last,
  "the server got calls after its node had stopped")
