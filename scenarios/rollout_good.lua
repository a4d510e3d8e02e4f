-- A new version without faults takes over all calls well before the finish time
-- of its rollout, and no call is lost.
local rollouts = require("rollouts")
local mesh = require("mesh")
local fixture = rollouts.new({
  { name = "commandes", old = {}, new = {}, old_count = 2 } })
fixture:start_caller(fixture.services, 150, 45000)
fixture:start_rollouts(function() return 45 end)
local first_share
assert(fixture:wait_until_decided(60000, function(_, state)
  if not first_share and state.share > 0 then first_share = state.share end
end), "the rollout is not decided")
local service = fixture.services[1]
assert(service.state.phase == "done", json_encode(service.state))
assert(first_share <= 0.05, "first share " .. first_share)
assert(service.decided_at_ms + 5000 <= service.finish * 1000, "done too late")
mesh.wait_until("the old version gets no calls", 10000, function()
  local before = rollouts.sum_counter(service.old_servers, "ran")
  sleep_ms(500)
  return rollouts.sum_counter(service.old_servers, "ran") == before
end)
local calls, lost = fixture:finish_callers()
assert(calls > 1000 and lost == 0, lost .. " of " .. calls .. " calls lost")
fixture.site:stop()
