-- A third of the nodes, including all relays of one zone, are killed and
-- restarted at once: all return to the newest version, and none serves an older
-- one.
local mesh = require("mesh")
local fleet = require("fleet")
local site = mesh.new("qc-east")
local zones = { "qc-east-1", "qc-east-2", "qc-east-3" }
for number = 1, 12 do
  site:add_node("node-" .. number, "qc-east-" .. (number - 1) % 3 + 1)
end
fleet.apply(site, 3, 1, zones)
site:wait_version(1, 30000)
local killed_nodes = {}
for _, node in ipairs(site.nodes) do
  if node.zone == "qc-east-1" then killed_nodes[#killed_nodes + 1] = node end
end
for _, node in ipairs(killed_nodes) do signal(node.pid, mesh.SIGKILL) end
for _, node in ipairs(killed_nodes) do wait_exit(node.pid, 10000) end
fleet.apply(site, 3, 2, zones)
for _, node in ipairs(killed_nodes) do site:start_node(node) end
mesh.wait_until("every node serves the newest version", 60000, function()
  for _, node in ipairs(site.nodes) do
    local status = site:status(node)
    local served = status and status.control and status.control.served_version
    assert(not served or served == 0 or served == 2 or
      node.zone ~= "qc-east-1", node.name .. " served an old version")
    if served ~= 2 then return false end
  end
  return true
end)
mesh.wait_until("every node knows every member", 60000, function()
  for _, node in ipairs(site.nodes) do
    if site:status(node).control.live_members ~= 12 then return false end
  end
  return true
end)
site:stop()
