-- All relays of one zone are killed at once. The other nodes of the zone keep
-- their configuration, get a newer one, and one of them becomes the relay.
local mesh = require("mesh")
local fleet = require("fleet")
local site = mesh.new("qc-east")
local zones = { "qc-east-1", "qc-east-2", "qc-east-3" }
for number = 1, 10 do
  site:add_node("node-" .. number, "qc-east-" .. (number - 1) % 2 + 1)
end
local function control(node)
  local status = site:status(node)
  return status and status.control or {}
end
local function running()
  local nodes = {}
  for _, node in ipairs(site.nodes) do
    if not node.dead then nodes[#nodes + 1] = node end
  end
  return nodes
end
local function all(condition)
  for _, node in ipairs(running()) do
    if not condition(control(node)) then return false end
  end
  return true
end

fleet.apply(site, 3, 1, zones)
site:wait_version(1, 30000)
mesh.wait_until("every node knows every member", 30000, function()
  return all(function(state) return state.members == 10 end)
end)
local function relays(zone)
  local count = 0
  for _, node in ipairs(running()) do
    if node.zone == zone and control(node).root_relay then count = count + 1 end
  end
  return count
end
mesh.wait_until("both relay slots of the zone are taken", 60000, function()
  return relays("qc-east-1") == 2
end)
local killed = 0
for _, node in ipairs(site.nodes) do
  if node.zone == "qc-east-1" and control(node).root_relay then
    signal(node.pid, mesh.SIGKILL)
    wait_exit(node.pid, 10000)
    node.dead = true
    killed = killed + 1
  end
end
assert(killed == 2)
assert(all(function(state) return state.config_version == 1 end),
  "a node lost its configuration")
fleet.apply(site, 3, 2, zones)
mesh.wait_until("the next version is active on all others", 30000, function()
  return all(function(state) return state.config_version == 2 end)
end)
mesh.wait_until("the zone has a relay again", 60000, function()
  return relays("qc-east-1") >= 1
end)
mesh.wait_until("the killed relays are no longer members", 60000, function()
  return all(function(state) return state.live_members == 10 - killed end)
end)
