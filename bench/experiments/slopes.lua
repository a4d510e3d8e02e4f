-- Slopes for docs/CAPACITY.md: how the cost of a node, of the platform and of
-- the command line tool grows with the number of nodes, members and services.
-- Each row is one size; there are no targets.
local mesh = require("mesh")
local fleet = require("fleet")
local caller = require("caller")
local report = require("report")

local zones = { "zone-1", "zone-2", "zone-3" }
local figures = {}

local function totals(site, name)
  local values = {}
  for index, node in ipairs(site.nodes) do
    values[index] = fleet.read_metric(node, name) or 0
  end
  return values
end

-- Returns the growth per second of a metric on each node over window_ms.
local function rates(site, name, window_ms)
  local before, start = totals(site, name), now_ms()
  sleep_ms(window_ms)
  local after, seconds = totals(site, name), (now_ms() - start) / 1000
  local growth = {}
  for index = 1, #after do
    growth[index] = (after[index] - before[index]) / seconds
  end
  return growth
end

local function grow(site, count)
  while #site.nodes < count do
    local number = #site.nodes + 1
    site:add_node("node-" .. number, zones[(number - 1) % #zones + 1])
  end
end

local function stop(site)
  for _, node in ipairs(site.nodes) do signal(node.pid, mesh.SIGKILL) end
  for _, node in ipairs(site.nodes) do wait_exit(node.pid, 5000) end
  signal(site.platform_pid, mesh.SIGKILL)
  wait_exit(site.platform_pid, 5000)
end

local function resident_mb(node)
  return fleet.read_metric(node, "gentianlug_resident_bytes") / 1048576
end

-- Idle fleets of three sizes: bytes and CPU time of each node, and platform
-- calls of all nodes.
local function by_nodes()
  local site, rows = mesh.new("bench"), {}
  fleet.apply(site, 30, 1, zones)
  for _, count in ipairs({ 30, 60, 90 }) do
    grow(site, count)
    site:wait_version(1, 30000)
    fleet.wait_members(site, count, 30000)
    sleep_ms(1000)
    local calls, start = fleet.count_platform_calls(site), now_ms()
    local bytes = rates(site, "gentianlug_control_bytes_total", 6000)
    rows[#rows + 1] = { nodes = count,
      platform_calls_per_s = (fleet.count_platform_calls(site) - calls) * 1000 /
        (now_ms() - start),
      bytes_per_s_mean = fleet.mean(bytes), bytes_per_s_max = fleet.max(bytes) }
  end
  local cpu = rates(site, "gentianlug_control_cpu_seconds_total", 4000)
  rows[#rows].cpu_percent_mean = fleet.mean(cpu) * 100
  rows[#rows].cpu_percent_max = fleet.max(cpu) * 100
  stop(site)
  return rows
end

-- Returns the CPU time in milliseconds that one configuration change costs a
-- node, in the whole process and in its control task. Each change makes every
-- task take a new snapshot with all members.
local function cost_of_changes(site, node, changes)
  local cpu = caller.cpu_time_us(node.pid)
  local control =
    fleet.read_metric(node, "gentianlug_control_cpu_seconds_total")
  for change = 1, changes do
    fleet.apply(site, 30, change + 1, zones)
    site:wait_version(change + 1, 30000)
    -- Longer than the minimum interval between two snapshots.
    sleep_ms(300)
  end
  sleep_ms(1100)
  local control_after =
    fleet.read_metric(node, "gentianlug_control_cpu_seconds_total")
  return (caller.cpu_time_us(node.pid) - cpu) / 1000 / changes,
    (control_after - control) * 1000 / changes
end

-- One relay with all members, and one child that joins afterwards.
local function by_members()
  local rows = {}
  for _, count in ipairs({ 1000, 4000, 10000 }) do
    local site = mesh.new("bench")
    fleet.apply(site, 30, 1, zones)
    grow(site, 1)
    site:wait_version(1, 30000)
    mesh.start_standin("members", "members-" .. count, { node = "crowd",
      availability_zone = "zone-1", control = "127.0.0.1:1",
      relay = site.nodes[1].control, count = count, services = 1800 })
    fleet.wait_members(site, count, 30000)
    local start = now_ms()
    local node = site:add_node("late", "zone-1")
    fleet.wait_members(site, count, 30000)
    rows[#rows + 1] = { members = count, join_ms = now_ms() - start,
      join_bytes = fleet.read_metric(node, "gentianlug_control_bytes_total"),
      join_cpu_s =
        fleet.read_metric(node, "gentianlug_control_cpu_seconds_total"),
      resident_mb = resident_mb(node) }
    local row = rows[#rows]
    row.process_cpu_ms_per_change, row.control_cpu_ms_per_change =
      cost_of_changes(site, node, 6)
    stop(site)
  end
  return rows
end

-- Three nodes: the first version, then changes of single services.
local function by_services()
  local rows = {}
  for _, count in ipairs({ 200, 600, 1800 }) do
    local site = mesh.new("bench")
    grow(site, 3)
    mesh.wait_until("nodes answer", 30000, function()
      for _, node in ipairs(site.nodes) do
        if not site:status(node) then return false end
      end
      return true
    end)
    local calls, start = fleet.count_platform_calls(site), now_ms()
    fleet.apply(site, count, 1, zones)
    local apply_ms = now_ms() - start
    site:wait_version(1, 30000)
    local first_calls = fleet.count_platform_calls(site) - calls
    sleep_ms(1500)
    calls = fleet.count_platform_calls(site)
    local cpu = totals(site, "gentianlug_control_cpu_seconds_total")
    local bytes = totals(site, "gentianlug_control_bytes_total")
    start = now_ms()
    local changes = 4
    for change = 1, changes do
      fleet.apply(site, count, change + 1, zones)
      site:wait_version(change + 1, 30000)
    end
    sleep_ms(1100)
    local cpu_after = totals(site, "gentianlug_control_cpu_seconds_total")
    local bytes_after = totals(site, "gentianlug_control_bytes_total")
    local cpu_ms, moved = {}, {}
    for index = 1, #cpu do
      cpu_ms[index] = (cpu_after[index] - cpu[index]) * 1000 / changes
      moved[index] = (bytes_after[index] - bytes[index]) / changes
    end
    rows[#rows + 1] = { services = count, apply_ms = apply_ms,
      first_apply_platform_calls = first_calls,
      cpu_ms_per_change_max = fleet.max(cpu_ms),
      bytes_per_change_mean = fleet.mean(moved),
      resident_mb = resident_mb(site.nodes[3]) }
    stop(site)
  end
  return rows
end

figures.by_nodes = by_nodes()
figures.by_members = by_members()
figures.by_services = by_services()
return report.finish("slopes", figures)
