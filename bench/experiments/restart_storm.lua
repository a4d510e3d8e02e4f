-- A third of the nodes, all nodes of one zone including its relays, are killed
-- and restarted at once while callers use the servers of the other zones.
local mesh = require("mesh")
local caller = require("caller")
local fleet = require("fleet")
local report = require("report")

local NODES = run.nodes and run.nodes > 0 and run.nodes or 60
local PLATFORM_CAPACITY = 2000
local CALL_MS = 15000
local zones = { "qc-east-1", "qc-east-2", "qc-east-3" }
local SERVICES = 10

local site = mesh.new("qc-east")
for number = 1, NODES do
  site:add_node("node-" .. number, zones[(number - 1) % #zones + 1])
end
local targets, killed_nodes = {}, {}
for _, node in ipairs(site.nodes) do
  if node.zone == zones[1] then
    killed_nodes[#killed_nodes + 1] = node
  elseif #targets < 6 then
    site:add_server(node, "service-0")
    targets[#targets + 1] = node.caller
  end
end
fleet.apply(site, SERVICES, 1, zones)
fleet.apply(site, SERVICES, 2, zones)
site:wait_version(2, 30000)
mesh.wait_until("every node knows every member", 30000, function()
  for _, node in ipairs(site.nodes) do
    local control = fleet.control_status(site, node)
    if not control or control.live_members ~= NODES then return false end
  end
  return true
end)
mesh.wait_until("the servers answer", 30000, function()
  for _, target in ipairs(targets) do
    if http("POST", target, "/service-0", "glue") ~= 200 then return false end
  end
  return true
end)

local load = caller.start({ targets = targets, rate = 100,
  duration_ms = CALL_MS, seed = run.seed, deadline_ms = 1000,
  calls = { { path = "/service-0" } } })
sleep_ms(1000)
for _, node in ipairs(killed_nodes) do signal(node.pid, mesh.SIGKILL) end
for _, node in ipairs(killed_nodes) do wait_exit(node.pid, 10000) end
fleet.apply(site, SERVICES, 3, zones)
http("POST", site.platform, "/admin/reset-counters")
local start, versions_back = now_ms(), 0
for _, node in ipairs(killed_nodes) do site:start_node(node) end
local back = {}
mesh.wait_until("all are back", 60000, function()
  local missing = 0
  for _, node in ipairs(killed_nodes) do
    local control = not back[node.name] and fleet.control_status(site, node)
    local served = control and control.served_version or 0
    if served == 3 then
      back[node.name] = now_ms() - start
    elseif served ~= 0 and served < 2 then
      versions_back = versions_back + 1
    end
    if not back[node.name] then missing = missing + 1 end
  end
  return missing == 0
end)
local back_ms = (now_ms() - start)
local peak = site:platform_counters().peak_per_second
local result = caller.finish(load)

return report.finish("restart_storm", {
  nodes = NODES, restarted = #killed_nodes,
  back_s = back_ms / 1000,
  versions_back = versions_back,
  platform_peak_per_s = peak,
  platform_peak_share = peak / PLATFORM_CAPACITY,
  calls = result.calls,
  calls_lost_elsewhere = caller.lost_calls(result),
})
