-- While the platform is down, nodes keep the active version, and a node that
-- restarts gets the newest accepted version from its peers.
local mesh = require("mesh")
local fleet = require("fleet")
local site = mesh.new("qc-east")
local zones = { "qc-east-1", "qc-east-2", "qc-east-3" }
for number = 1, 6 do
  site:add_node("node-" .. number, "qc-east-" .. (number - 1) % 2 + 1)
end
for version = 1, 2 do
  fleet.apply(site, 3, version, zones)
end
site:wait_version(2, 30000)
site:set_platform_faults({ down = true })
local function restart(node)
  signal(node.pid, mesh.SIGKILL)
  wait_exit(node.pid, 10000)
  site:start_node(node)
end
-- Nodes with seed peers in their settings; the first node has none.
for _, node in ipairs({ site.nodes[4], site.nodes[6] }) do
  restart(node)
  mesh.wait_until(node.name .. " serves the newest version", 30000, function()
    local status = site:status(node)
    local control = status and status.control
    assert(not control or not control.served_version or
      control.served_version == 0 or control.served_version == 2,
      "an old version was served")
    return control and control.served_version == 2
  end)
end
for _, node in ipairs(site.nodes) do
  assert(site:version_in_force(node) == 2, node.name)
end
site:set_platform_faults({})
fleet.apply(site, 3, 3, zones)
site:wait_version(3, 60000)
