-- A zone that operators take out gets no new calls later than 3 s after the
-- command was accepted, neither at its servers nor from callers, and no call is
-- lost. Once the zone is brought back, its servers get calls again.
local mesh = require("mesh")
local caller = require("caller")
local serving = require("serving")
local site = serving.start_site("inventaire", 3, { work_ms = 5 })
local zone_server = site.servers[2]
local others = { site.nodes[1].caller, site.nodes[3].caller }

local function start_load(duration_ms)
  return caller.start({ targets = serving.caller_addresses(site), rate = 60,
    duration_ms = duration_ms, retries = 2,
    calls = { { method = "GET", path = "/inventaire/stock" } } })
end

local function change_zone(direction)
  local code, output = site:command({ "zone", direction, zone_server.node.zone,
    "--author", "marie", "--reason", "work on the power supply" })
  assert(code == 0, output)
  return wall_ms()
end

for _, server in ipairs(site.servers) do
  mesh.wait_until(server.name .. " gets calls", 30000, function()
    http("GET", server.node.caller, "/inventaire/stock")
    return serving.read_counters(server).ran > 10
  end)
end

local load = start_load(8000)
local accepted = change_zone("out")
local result = caller.finish(load)
assert(caller.lost_calls(result) == 0, json_encode(result))
local counters = serving.read_counters(zone_server)
assert(counters.last_call_ms <= accepted + 3000, json_encode(counters))
local status, body, headers = http("GET", zone_server.node.caller,
  "/inventaire/stock")
assert(status == 503 and headers["gl-outcome"] == "not-run", body)

change_zone("in")
local before = counters.ran
mesh.wait_until("the server of the zone gets calls again", 30000, function()
  for _, target in ipairs(others) do
    http("GET", target, "/inventaire/stock")
  end
  http("GET", zone_server.node.caller, "/inventaire/stock")
  return serving.read_counters(zone_server).ran > before + 5
end)
site:stop()
