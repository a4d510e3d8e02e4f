-- The zone of the new version's only server is taken out during the rollout.
-- The rollout is still decided by its finish time, and no call is lost.
local mesh = require("mesh")
local rollouts = require("rollouts")
local fixture = rollouts.new({
  { name = "commandes", old = {}, old_count = 2, new = {} } })
local service = fixture.services[1]
fixture:start_caller(fixture.services, 60, 40000)
fixture:start_rollouts(function() return 45 end)
mesh.wait_until("the new version gets calls", 30000, function()
  return rollouts.read_counters(service.new_servers[1]).ran > 0
end)
local zone = service.new_servers[1].node.zone
local code, output = fixture.site:command({ "zone", "out", zone, "--author",
  "marie", "--reason", "work on the power supply" })
assert(code == 0, output)
local calls, lost = fixture:finish_callers()
assert(calls > 1000 and lost == 0, lost .. " of " .. calls .. " calls lost")
mesh.wait_until("the rollout is decided", 30000, function()
  local _, text = fixture.site:command({ "rollout", "status", "commandes" })
  return text:find("is done") or text:find("taken back") or
    text:find("time has passed")
end)
fixture.site:stop()
