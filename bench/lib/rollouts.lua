-- Rollouts of new service versions in a mesh of real processes. Each service
-- has nodes and servers of its own for both versions.
local mesh = require("mesh")
local caller = require("caller")
local rollouts = {}

local Rollouts = {}
Rollouts.__index = Rollouts

-- Starts the mesh. Each entry of services has the fields name, old and new
-- (server settings of the old and the new version), old_count and new_count
-- (number of servers of each, default 1).
function rollouts.new(services, node_settings)
  local self = setmetatable({ services = services, callers = {} }, Rollouts)
  self.site = mesh.new("qc-east")
  for index, service in ipairs(services) do
    service.old_servers = self:add_servers(service, index, "v1", service.old,
      service.old_count or 1, node_settings)
    service.new_servers = self:add_servers(service, index, "v2", service.new,
      service.new_count or 1, node_settings)
  end
  local started = now_ms()
  self:apply({})
  self.site:wait_version(1, 60000)
  for index, node in ipairs(self.site.nodes) do
    self:wait_until_served(node, services[index % #services + 1])
    self:wait_until_served(node, services[#services])
  end
  -- Serving nodes use the latencies of a cold server in rollout decisions only
  -- once its incarnation is 10 s old.
  sleep_ms(math.max(0, math.floor(started + 10500 - now_ms())))
  return self
end

-- Waits until a node answers calls to a service.
function Rollouts:wait_until_served(node, service)
  mesh.wait_until(node.name .. " serves " .. service.name, 30000, function()
    return http("GET", node.caller, "/" .. service.name .. "/read") == 200
  end)
end

function Rollouts:add_servers(service, index, version, settings, count,
                              node_settings)
  local servers = {}
  for number = 1, count do
    local node = self.site:add_node(
      service.name .. "-" .. version .. "-" .. number,
      "qc-east-" .. (index + number) % 3 + 1, node_settings)
    local extra = { version = version, seed = draw(1, 1000000) }
    for key, value in pairs(settings) do extra[key] = value end
    servers[number] = self.site:add_server(node, service.name, extra)
  end
  return servers
end

local function base_configuration(services, finish)
  local base = { customers = { { name = "walk-in", share = 1 } },
    services = {}, routes = {}, rollouts = {} }
  for _, service in ipairs(services) do
    table.insert(base.services, { name = service.name, version = "v1" })
    table.insert(base.routes, { name = service.name .. "-read",
      path = "/" .. service.name .. "/read", service = service.name,
      idempotent = true, deadline_ms = 3000 })
    table.insert(base.routes, { name = service.name .. "-order",
      path = "/" .. service.name .. "/order", service = service.name,
      idempotent = false, deadline_ms = 3000 })
    if finish[service.name] then
      table.insert(base.rollouts, { service = service.name, version = "v2",
        finish_by = os.date("!%Y-%m-%dT%H:%M:%SZ", finish[service.name]) })
    end
  end
  if #base.rollouts == 0 then base.rollouts = nil end
  return base
end

-- Applies a configuration; finish maps service names to the finish time of
-- their rollouts, in seconds since 1970.
function Rollouts:apply(finish)
  local file = run.folder .. "/base.json"
  write_file(file, json_encode(base_configuration(self.services, finish)))
  local code, output = self.site:apply(file,
    run.source .. "/examples/beaudoin/qc-east.json", "marie", "moves")
  assert(code == 0, output)
end

-- Starts all rollouts; seconds_until_finish(service) returns the time allowed.
function Rollouts:start_rollouts(seconds_until_finish)
  local finish = {}
  for _, service in ipairs(self.services) do
    service.finish = os.time() + seconds_until_finish(service)
    finish[service.name] = service.finish
  end
  self:apply(finish)
end

-- Starts a caller for some services; rate is in calls per second and service.
function Rollouts:start_caller(services, rate, duration_ms, order_share)
  local calls, targets = {}, {}
  for _, service in ipairs(services) do
    table.insert(calls, { method = "GET", path = "/" .. service.name ..
      "/read", weight = 1 - (order_share or 0.4) })
    table.insert(calls, { method = "POST", path = "/" .. service.name ..
      "/order", weight = order_share or 0.4 })
  end
  for _, node in ipairs(self.site.nodes) do
    table.insert(targets, node.caller)
  end
  local started = caller.start({ targets = targets, calls = calls,
    rate = rate * #services, duration_ms = duration_ms, retries = 2,
    deadline_ms = 3000 })
  table.insert(self.callers, started)
end

-- Waits for all callers; returns the numbers of calls and of lost calls. An
-- error response from a faulty server does not count as lost.
function Rollouts:finish_callers()
  local calls, lost = 0, 0
  for _, started in ipairs(self.callers) do
    local result = caller.finish(started)
    calls = calls + result.calls
    lost = lost + caller.lost_calls(result) - result.error
  end
  return calls, lost
end

-- Returns the rollout states on the platform, keyed by service, or nil if the
-- platform does not respond.
function Rollouts:read_states()
  local status, body = http("GET", self.site.platform,
    "/list?prefix=live/rollout/", "", {}, 1000)
  if status ~= 200 then return nil end
  local states = {}
  for _, object in ipairs(json_decode(body).objects or {}) do
    local state = json_decode(object.value)
    states[state.service] = state
  end
  return states
end

function rollouts.is_decided(state)
  return state ~= nil and (state.phase == "done" or state.phase == "taken_back")
end

-- Waits until all rollouts are decided; returns false after limit_ms. Calls
-- observe(service, state) for each known state, at most four times a second.
function Rollouts:wait_until_decided(limit_ms, observe)
  local deadline = now_ms() + limit_ms
  repeat
    local states = self:read_states()
    local undecided = states == nil and #self.services or 0
    for _, service in ipairs(states and self.services or {}) do
      local state = states[service.name]
      if state and not service.decided_at_ms then
        service.state = state
        if observe then observe(service, state) end
        if rollouts.is_decided(state) then
          service.decided_at_ms = wall_ms()
        end
      end
      if not service.decided_at_ms then undecided = undecided + 1 end
    end
    if undecided == 0 then return true end
    sleep_ms(250)
  until now_ms() > deadline
  return false
end

-- Returns the sum of a counter over servers. Servers that do not respond count
-- as 0.
function rollouts.sum_counter(servers, name)
  local sum = 0
  for _, server in ipairs(servers) do
    local status, body = http("GET", server.address, "/standin/counters", "",
      {}, 2000)
    if status == 200 then sum = sum + (json_decode(body)[name] or 0) end
  end
  return sum
end

function rollouts.read_counters(server)
  local status, body = http("GET", server.address, "/standin/counters", "", {},
    2000)
  return status == 200 and json_decode(body) or nil
end

return rollouts
