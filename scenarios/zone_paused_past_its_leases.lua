-- All nodes of one zone are paused past the expiry of their relay leases and
-- then resumed. The other nodes remove them meanwhile. Afterwards every node
-- knows every member and the newest version, and no relay slot has two holders.
local mesh = require("mesh")
local fleet = require("fleet")
local site = mesh.new("qc-east")
local zones = { "qc-east-1", "qc-east-2" }
for number = 1, 8 do
  site:add_node("node-" .. number, zones[(number - 1) % #zones + 1])
end
fleet.apply(site, 3, 1, zones)
site:wait_version(1, 30000)
local function all_know(nodes, count)
  for _, node in ipairs(nodes) do
    local control = fleet.control_status(site, node)
    if not control or control.live_members ~= count then return false end
  end
  return true
end
mesh.wait_until("every node knows every member", 30000, function()
  return all_know(site.nodes, 8)
end)
local paused, others = {}, {}
for _, node in ipairs(site.nodes) do
  local list = node.zone == zones[1] and paused or others
  list[#list + 1] = node
end
for _, node in ipairs(paused) do signal(node.pid, mesh.SIGSTOP) end
mesh.wait_until("the paused nodes are removed", 60000, function()
  return all_know(others, #others)
end)
fleet.apply(site, 3, 2, zones)
mesh.wait_until("the others have the next version", 30000, function()
  for _, node in ipairs(others) do
    if site:version_in_force(node) ~= 2 then return false end
  end
  return true
end)
for _, node in ipairs(paused) do signal(node.pid, mesh.SIGCONT) end
site:wait_version(2, 30000)
mesh.wait_until("every node knows every member again", 60000, function()
  return all_know(site.nodes, 8)
end)
mesh.wait_until("each zone has at most two relays", 60000, function()
  local relays = {}
  for _, node in ipairs(site.nodes) do
    if fleet.control_status(site, node).root_relay then
      relays[node.zone] = (relays[node.zone] or 0) + 1
    end
  end
  return (relays[zones[1]] or 0) >= 1 and (relays[zones[1]] or 0) <= 2 and
    (relays[zones[2]] or 0) >= 1 and (relays[zones[2]] or 0) <= 2
end)
