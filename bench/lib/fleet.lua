-- Helpers for control plane experiments: large configurations, metrics of many
-- nodes, statistics.
local mesh = require("mesh")
local fleet = {}

-- Returns a base with the given number of services. Consecutive generations
-- differ in the queue length of at most two services.
function fleet.base_configuration(services, generation)
  local base = { customers = { { name = "walk-in", share = 1 } },
    services = {}, routes = {} }
  for index = 1, services do
    local name = "service-" .. index - 1
    base.services[index] = { name = name, version = "v1",
      limits = { slots = 10, connections = 120,
        queue_length = index == generation % services + 1 and
          20 + generation % 1000 or 20 } }
    base.routes[index] = { name = "route-" .. index - 1, path = "/" .. name,
      service = name, idempotent = true, deadline_ms = 1000 }
  end
  return base
end

function fleet.overlay(zones)
  local overlay = { zone_round_trip_us = 1000, availability_zones = {} }
  for index, zone in ipairs(zones) do
    overlay.availability_zones[index] = { name = zone, region = "region-1" }
  end
  return overlay
end

-- Applies one generation of a base; returns exit code and output.
function fleet.try_apply(site, services, generation, zones)
  local base, overlay = run.folder .. "/base.json",
    run.folder .. "/overlay.json"
  write_file(base, json_encode(fleet.base_configuration(services, generation)))
  write_file(overlay, json_encode(fleet.overlay(zones)))
  return site:apply(base, overlay, "bench", "generation " .. generation)
end

-- Applies one generation of a base; raises an error if it is not accepted.
function fleet.apply(site, services, generation, zones)
  local code, output = fleet.try_apply(site, services, generation, zones)
  assert(code == 0, output)
end

-- Returns the object that names the newest accepted version.
function fleet.read_head(site)
  local status, body = http("GET", site.platform, "/objects?key=live/config")
  assert(status == 200, body)
  return json_decode(json_decode(body).value)
end

-- Returns the value of one unlabelled metric of a node, or nil.
function fleet.read_metric(node, name)
  local status, body = http("GET", node.admin, "/metrics")
  if status ~= 200 then return nil end
  return tonumber(body:match("\n" .. name .. " ([%d%.e+-]+)") or
    body:match("^" .. name .. " ([%d%.e+-]+)"))
end

function fleet.percentile(values, share)
  if #values == 0 then return nil end
  table.sort(values)
  return values[math.max(1, math.ceil(#values * share))]
end

function fleet.max(values)
  local largest
  for _, value in ipairs(values) do
    if not largest or value > largest then largest = value end
  end
  return largest
end

function fleet.mean(values)
  local sum = 0
  for _, value in ipairs(values) do sum = sum + value end
  return #values > 0 and sum / #values or nil
end

-- Returns the number of calls that the platform has received.
function fleet.count_platform_calls(site)
  local counters = site:platform_counters()
  return counters.reads + counters.writes + counters.watches
end

function fleet.control_status(site, node)
  local status = site:status(node)
  return status and status.control
end

function fleet.wait_members(site, count, limit_ms)
  mesh.wait_until(count .. " members on every node", limit_ms, function()
    for _, node in ipairs(site.nodes) do
      local control = fleet.control_status(site, node)
      if not control or not control.members or control.members < count then
        return false
      end
    end
    return true
  end)
end

return fleet
