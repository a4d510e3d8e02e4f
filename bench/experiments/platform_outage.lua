-- The platform is down for 20 s. Calls continue, restarted nodes get the newest
-- version from peers, and an attempt to apply a configuration fails.
local mesh = require("mesh")
local caller = require("caller")
local fleet = require("fleet")
local report = require("report")

local NODES = run.nodes and run.nodes > 0 and run.nodes or 24
local OUTAGE_MS = 20000
local zones = { "qc-east-1", "qc-east-2", "qc-east-3" }
local SERVICES = 10

local site = mesh.new("qc-east")
for number = 1, NODES do
  site:add_node("node-" .. number, zones[(number - 1) % #zones + 1])
end
local generation = 0
local function apply()
  generation = generation + 1
  return fleet.try_apply(site, SERVICES, generation, zones)
end
local targets = {}
for number = 1, 6 do
  site:add_server(site.nodes[number], "service-0")
  targets[number] = site.nodes[number].caller
end
assert(apply() == 0)
assert(apply() == 0)
site:wait_version(2, 30000)
mesh.wait_until("the servers answer", 30000, function()
  for _, target in ipairs(targets) do
    if http("POST", target, "/service-0", "glue") ~= 200 then return false end
  end
  return true
end)
mesh.wait_until("every node knows every member", 30000, function()
  for _, node in ipairs(site.nodes) do
    local control = fleet.control_status(site, node)
    if not control or control.live_members ~= NODES then return false end
  end
  return true
end)

local load = caller.start({ targets = targets, rate = 100,
  duration_ms = OUTAGE_MS + 4000, seed = run.seed, deadline_ms = 1000,
  calls = { { path = "/service-0" } } })
sleep_ms(1000)
site:set_platform_faults({ down = true })
local start = now_ms()
local refused = apply()
assert(refused ~= 0, "a version was accepted during the outage")

-- Restarts every fourth node of those that have no callers.
local restarted = {}
for number = 7, NODES, 4 do
  local node = site.nodes[number]
  signal(node.pid, mesh.SIGKILL)
  wait_exit(node.pid, 10000)
  site:start_node(node)
  restarted[#restarted + 1] = node
end
local current = 0
local limit = start + OUTAGE_MS - 1000
for _, node in ipairs(restarted) do
  while now_ms() < limit do
    local control = fleet.control_status(site, node)
    if control and control.served_version == 2 then
      current = current + 1
      break
    end
    sleep_ms(50)
  end
end
local rest = start + OUTAGE_MS - now_ms()
if rest > 0 then sleep_ms(math.floor(rest)) end
local before = 2
site:set_platform_faults({})
-- The version in the head grows by one with each acceptance, so it exceeds the
-- number of successful commands if a version was accepted twice.
local accepted = 0
for attempt = 1, 3 do
  if apply() == 0 then accepted = accepted + 1 end
end
local head = fleet.read_head(site)
site:wait_version(before + accepted, 30000)
local result = caller.finish(load)

return report.finish("platform_outage", {
  nodes = NODES, restarted = #restarted,
  calls = result.calls,
  calls_lost = caller.lost_calls(result),
  restarted_current_percent = current / #restarted * 100,
  accepted_twice = head.version - before - accepted,
})
