-- The controller of a move is killed; another node brings the move to its end
-- before its time.
local moves = require("moves")
local mesh = require("mesh")
local site = moves.new({ { name = "commandes", old = {}, new = {}, olds = 2 } })
site:call(site.services, 150, 50000)
site:begin(function() return 60 end)

local function controller()
  for _, node in ipairs(site.site.nodes) do
    local status = site.site:status(node)
    if status and status.rollout and status.rollout.steers then return node end
  end
end

mesh.wait_until("the share grows", 40000, function()
  local state = (site:states() or {}).commandes
  return state and state.share > 0.05
end)
local killed = assert(controller(), "no controller")
signal(killed.pid, mesh.SIGKILL)
wait_exit(killed.pid, 5000)
assert(site:watch(70000), "the move is not decided")
local state = site.services[1].state
assert(state.controllers == 2 and state.epoch == 2, json_encode(state))
assert(site.services[1].state_decided <= site.services[1].finish * 1000,
  "decided too late")
site.site:start_node(killed)
site.site:wait_version(2, 30000)
site:finish_calls()
site.site:stop()
