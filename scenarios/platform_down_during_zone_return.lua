-- Two faults at once: the platform goes down while a zone is brought back. The
-- zone is used again at the latest once the platform is back, and no call is
-- lost.
local mesh = require("mesh")
local caller = require("caller")
local serving = require("serving")
local site = serving.start_site("inventaire", 3, { work_ms = 5 })
local zone_server = site.servers[3]

local function change_zone(direction)
  local code, output = site:command({ "zone", direction, zone_server.node.zone,
    "--author", "marie", "--reason", "work on the power supply" })
  assert(code == 0, output)
end

for _, node in ipairs(site.nodes) do
  mesh.wait_until(node.name .. " serves", 30000, function()
    return http("GET", node.caller, "/inventaire/stock") == 200
  end)
end
change_zone("out")
mesh.wait_until("every node knows that the zone is out", 30000, function()
  for _, node in ipairs(site.nodes) do
    local status = site:status(node)
    if not status or status.control.zones_out ~= 1 then return false end
  end
  return true
end)
local before = serving.read_counters(zone_server).ran

local load = caller.start({ targets = serving.caller_addresses(site), rate = 40,
  duration_ms = 8000, retries = 2,
  calls = { { method = "GET", path = "/inventaire/stock" } } })
change_zone("in")
site:set_platform_faults({ down = true })
local result = caller.finish(load)
assert(caller.lost_calls(result) == 0, json_encode(result))
site:set_platform_faults({ down = false })
mesh.wait_until("the server of the zone gets calls again", 30000, function()
  for _, node in ipairs(site.nodes) do
    http("GET", node.caller, "/inventaire/stock")
  end
  return serving.read_counters(zone_server).ran > before + 5
end)
site:stop()
