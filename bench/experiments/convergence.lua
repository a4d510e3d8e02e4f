-- Time from the acceptance of a configuration until it is active on each node,
-- and the cost of the control plane, with 1,800 services, 10,000 endpoints and
-- ten times 16,000 changes a day.
local mesh = require("mesh")
local fleet = require("fleet")
local report = require("report")

local NODES = run.nodes and run.nodes > 0 and run.nodes or 120
local SERVICES, ENDPOINTS = 1800, 10000
local CHANGES = 20
local PERIOD_MS = 86400000 / 160000
-- A multiple of the periods of lease renewals (2 s), listings (5 s) and watches
-- (10 s).
local IDLE_MS = 10000
local zones = { "zone-1", "zone-2", "zone-3" }

local site = mesh.new("bench")
local function grow(count)
  while #site.nodes < count do
    local number = #site.nodes + 1
    site:add_node("node-" .. number, zones[(number - 1) % #zones + 1])
  end
end

grow(math.floor(NODES / 2))
fleet.apply(site, SERVICES, 1, zones)
site:wait_version(1, 30000)
mesh.start_standin("members", "members", { node = "crowd",
  availability_zone = "zone-1", control = "127.0.0.1:1",
  relay = site.nodes[1].control, count = ENDPOINTS - NODES,
  services = SERVICES })
local half = #site.nodes
fleet.wait_members(site, ENDPOINTS - NODES + half, 30000)

-- Returns the platform calls per second without configuration changes, once the
-- leases are stable.
local function measure_idle_rate()
  sleep_ms(1000)
  local calls, start = fleet.count_platform_calls(site), now_ms()
  sleep_ms(IDLE_MS)
  return (fleet.count_platform_calls(site) - calls) * 1000 / (now_ms() - start)
end

local rate_before = measure_idle_rate()
grow(NODES)
site:wait_version(1, 30000)
fleet.wait_members(site, ENDPOINTS, 30000)

local function sample()
  local all = { at = now_ms(), bytes = {}, cpu = {} }
  for index, node in ipairs(site.nodes) do
    all.bytes[index] = fleet.read_metric(node, "gentianlug_control_bytes_total")
    all.cpu[index] =
      fleet.read_metric(node, "gentianlug_control_cpu_seconds_total")
  end
  return all
end

local idle_before = sample()
local rate_after = measure_idle_rate()
local idle_after = sample()

local accepted, in_force = {}, {}
local function collect()
  for _, node in ipairs(site.nodes) do
    local control = fleet.control_status(site, node)
    for _, entry in ipairs(control and control.recent or {}) do
      local version = entry.version
      in_force[version] = in_force[version] or {}
      in_force[version][node.name] = entry.in_force_at_ms
    end
  end
end

local before = sample()
local start = now_ms()
for change = 1, CHANGES do
  fleet.apply(site, SERVICES, change + 1, zones)
  local head = fleet.read_head(site)
  accepted[head.version] = head.accepted_at_ms
  if change % 5 == 0 then collect() end
  local pause = start + change * PERIOD_MS - now_ms()
  if pause > 0 then sleep_ms(math.floor(pause)) end
end
local after = sample()
local window = (after.at - before.at) / 1000
site:wait_version(1 + CHANGES, 10000)
collect()

local latencies, missing = {}, 0
for version, at in pairs(accepted) do
  for _, node in ipairs(site.nodes) do
    local done = in_force[version] and in_force[version][node.name]
    if done then latencies[#latencies + 1] = done - at
    else missing = missing + 1 end
  end
end

-- The bound on control bytes applies at the design rate of changes, a tenth of
-- the rate above, so the bytes caused by changes are scaled down to it.
local DESIGN_CHANGES_PER_S = 16000 / 86400
local idle_window = (idle_after.at - idle_before.at) / 1000
local bytes_at_design_rate = {}
local bytes, cpu, rss = {}, {}, {}
for index, node in ipairs(site.nodes) do
  local idle_bytes = (idle_after.bytes[index] - idle_before.bytes[index]) /
    idle_window
  bytes[index] = (after.bytes[index] - before.bytes[index]) / window
  bytes_at_design_rate[index] = idle_bytes + (bytes[index] - idle_bytes) *
    DESIGN_CHANGES_PER_S / (CHANGES / window)
  cpu[index] = (after.cpu[index] - before.cpu[index]) / window * 100
  rss[index] = fleet.read_metric(node, "gentianlug_resident_bytes") / 1048576
end

return report.finish("convergence", {
  nodes = #site.nodes, services = SERVICES, endpoints = ENDPOINTS,
  changes = CHANGES, changes_per_s = CHANGES / window,
  samples = #latencies, versions_skipped = missing,
  p50_ms = fleet.percentile(latencies, 0.5),
  p99_ms = fleet.percentile(latencies, 0.99),
  max_ms = fleet.max(latencies),
  -- The maximum over all nodes.
  control_bytes_per_s = fleet.max(bytes_at_design_rate),
  control_bytes_per_s_mean = fleet.mean(bytes_at_design_rate),
  control_bytes_per_s_at_ten_times = fleet.max(bytes),
  cpu_percent = fleet.max(cpu), cpu_percent_mean = fleet.mean(cpu),
  rss_mb = fleet.max(rss),
  platform_calls_per_s_half = rate_before,
  platform_calls_per_s_all = rate_after,
  platform_calls_per_s_per_added_node =
    math.max(0, (rate_after - rate_before) / (NODES - half)),
})
