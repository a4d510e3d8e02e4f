-- The controller of a rollout is killed; another node takes over and completes
-- the rollout by its finish time.
local rollouts = require("rollouts")
local mesh = require("mesh")
local fixture = rollouts.new({
  { name = "commandes", old = {}, new = {}, old_count = 2 } })
fixture:start_caller(fixture.services, 150, 50000)
fixture:start_rollouts(function() return 60 end)

local function controller()
  for _, node in ipairs(fixture.site.nodes) do
    local status = fixture.site:status(node)
    if status and status.rollout and status.rollout.steers then return node end
  end
end

mesh.wait_until("the share grows", 40000, function()
  local state = (fixture:read_states() or {}).commandes
  return state and state.share > 0.05
end)
local killed = assert(controller(), "no controller")
signal(killed.pid, mesh.SIGKILL)
wait_exit(killed.pid, 5000)
assert(fixture:wait_until_decided(70000), "the rollout is not decided")
local state = fixture.services[1].state
assert(state.controllers == 2 and state.epoch == 2, json_encode(state))
assert(fixture.services[1].decided_at_ms <= fixture.services[1].finish * 1000,
  "decided too late")
fixture.site:start_node(killed)
fixture.site:wait_version(2, 30000)
fixture:finish_callers()
fixture.site:stop()
