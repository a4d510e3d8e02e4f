-- A zone that operators take out gets no new work 3 s after the command was
-- accepted, neither at its servers nor from callers, and no call is lost. Brought
-- back, its servers work again.
local mesh = require("mesh")
local caller = require("caller")
local serving = require("serving")
local site = serving.start_site("inventaire", 3, { work_ms = 5 })
local moved = site.servers[2]
local others = { site.nodes[1].caller, site.nodes[3].caller }

local function call_all(duration_ms)
  return caller.start({ targets = serving.callers(site), rate = 60,
    duration_ms = duration_ms, retries = 2,
    calls = { { method = "GET", path = "/inventaire/stock" } } })
end

local function zone(direction)
  local code, output = site:command({ "zone", direction, moved.node.zone,
    "--author", "marie", "--reason", "work on the power supply" })
  assert(code == 0, output)
  return wall_ms()
end

for _, server in ipairs(site.servers) do
  mesh.wait_until(server.name .. " works", 30000, function()
    http("GET", server.node.caller, "/inventaire/stock")
    return serving.counters(server).ran > 10
  end)
end

local load = call_all(8000)
local accepted = zone("out")
local result = caller.finish(load)
assert(caller.lost(result) == 0, json_encode(result))
local counters = serving.counters(moved)
assert(counters.last_call_ms <= accepted + 3000, json_encode(counters))
local status, body, headers = http("GET", moved.node.caller, "/inventaire/stock")
assert(status == 503 and headers["gl-outcome"] == "not-run", body)

zone("in")
local before = counters.ran
mesh.wait_until("the server of the zone works again", 30000, function()
  for _, target in ipairs(others) do http("GET", target, "/inventaire/stock") end
  http("GET", moved.node.caller, "/inventaire/stock")
  return serving.counters(moved).ran > before + 5
end)
site:stop()
