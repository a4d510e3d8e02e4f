-- A new version without faults takes over all calls well before its time, and
-- no call is lost.
local moves = require("moves")
local mesh = require("mesh")
local site = moves.new({ { name = "commandes", old = {}, new = {}, olds = 2 } })
site:call(site.services, 150, 45000)
site:begin(function() return 45 end)
local first_share
assert(site:watch(60000, function(_, state)
  if not first_share and state.share > 0 then first_share = state.share end
end), "the move is not decided")
local service = site.services[1]
assert(service.state.phase == "done", json_encode(service.state))
assert(first_share <= 0.05, "first share " .. first_share)
assert(service.state_decided + 5000 <= service.finish * 1000, "done too late")
mesh.wait_until("the old version gets no calls", 10000, function()
  local before = moves.sum(service.old_servers, "ran")
  sleep_ms(500)
  return moves.sum(service.old_servers, "ran") == before
end)
local calls, lost = site:finish_calls()
assert(calls > 1000 and lost == 0, lost .. " of " .. calls .. " calls lost")
site.site:stop()
