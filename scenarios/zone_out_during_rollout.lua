-- Two moves at once: the zone of the new version's only server is taken out
-- while its rollout grows. The rollout is still decided by its time, and no call
-- is lost.
local mesh = require("mesh")
local moves = require("moves")
local site = moves.new({ { name = "commandes", old = {}, olds = 2, new = {} } })
local service = site.services[1]
site:call(site.services, 60, 40000)
site:begin(function() return 45 end)
mesh.wait_until("the new version gets calls", 30000, function()
  return moves.counters(service.new_servers[1]).ran > 0
end)
local zone = service.new_servers[1].node.zone
local code, output = site.site:command({ "zone", "out", zone, "--author",
  "marie", "--reason", "work on the power supply" })
assert(code == 0, output)
local calls, lost = site:finish_calls()
assert(calls > 1000 and lost == 0, lost .. " of " .. calls .. " calls lost")
mesh.wait_until("the rollout is decided", 30000, function()
  local _, text = site.site:command({ "rollout", "status", "commandes" })
  return text:find("is done") or text:find("taken back") or
    text:find("time has passed")
end)
site.site:stop()
