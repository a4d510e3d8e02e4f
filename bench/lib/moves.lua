-- Services that move to a new version on real processes. Each service has its
-- own nodes and servers of both versions in one mesh.
local mesh = require("mesh")
local caller = require("caller")
local moves = {}

local Moves = {}
Moves.__index = Moves

-- Starts the mesh. Each entry of services has: name, old, new (settings of the
-- servers of the version), olds, news (how many servers; default 1).
function moves.new(services, node_settings)
  local self = setmetatable({ services = services, callers = {} }, Moves)
  self.site = mesh.new("qc-east")
  for index, service in ipairs(services) do
    service.old_servers = self:add_servers(service, index, "v1", service.old,
      service.olds or 1, node_settings)
    service.new_servers = self:add_servers(service, index, "v2", service.new,
      service.news or 1, node_settings)
  end
  local started = now_ms()
  self:apply({})
  self.site:wait_version(1, 60000)
  for index, node in ipairs(self.site.nodes) do
    self:wait_served(node, services[index % #services + 1])
    self:wait_served(node, services[#services])
  end
  -- Latencies of a server count once it is 10 s old, see LongestColdLife.
  sleep_ms(math.max(0, math.floor(started + 10500 - now_ms())))
  return self
end

-- Waits until a node knows the servers of a service.
function Moves:wait_served(node, service)
  mesh.wait_until(node.name .. " serves " .. service.name, 30000, function()
    return http("GET", node.caller, "/" .. service.name .. "/read") == 200
  end)
end

function Moves:add_servers(service, index, version, settings, count,
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

-- Applies a configuration; finish gives the time of each move in seconds since
-- 1970.
function Moves:apply(finish)
  local file = run.folder .. "/base.json"
  write_file(file, json_encode(base_configuration(self.services, finish)))
  local code, output = self.site:apply(file,
    run.source .. "/examples/beaudoin/qc-east.json", "marie", "moves")
  assert(code == 0, output)
end

-- Starts all moves; window(service) returns the seconds until its time.
function Moves:begin(window)
  local finish = {}
  for _, service in ipairs(self.services) do
    service.finish = os.time() + window(service)
    finish[service.name] = service.finish
  end
  self:apply(finish)
end

-- Starts a caller for some services; rate is the calls a second of each.
function Moves:call(services, rate, duration_ms, order_part)
  local calls, targets = {}, {}
  for _, service in ipairs(services) do
    table.insert(calls, { method = "GET", path = "/" .. service.name ..
      "/read", weight = 1 - (order_part or 0.4) })
    table.insert(calls, { method = "POST", path = "/" .. service.name ..
      "/order", weight = order_part or 0.4 })
  end
  for _, node in ipairs(self.site.nodes) do table.insert(targets, node.caller) end
  local started = caller.start({ targets = targets, calls = calls,
    rate = rate * #services, duration_ms = duration_ms, retries = 2,
    deadline_ms = 3000 })
  table.insert(self.callers, started)
end

-- Waits for all callers; returns the calls and those that were lost. Answers
-- with an error of a faulty server are not lost.
function Moves:finish_calls()
  local calls, lost = 0, 0
  for _, started in ipairs(self.callers) do
    local result = caller.finish(started)
    calls = calls + result.calls
    lost = lost + caller.lost(result) - result.error
  end
  return calls, lost
end

-- Returns the states on the platform by service; nil while it is down.
function Moves:states()
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

function moves.decided(state)
  return state ~= nil and (state.phase == "done" or state.phase == "taken_back")
end

-- Waits until all moves are decided or limit_ms has passed. Calls observe(
-- service, state) for each known state, at most four times a second.
function Moves:watch(limit_ms, observe)
  local deadline = now_ms() + limit_ms
  repeat
    local states = self:states()
    local open = states == nil and #self.services or 0
    for _, service in ipairs(states and self.services or {}) do
      local state = states[service.name]
      if state and not service.state_decided then
        service.state = state
        if observe then observe(service, state) end
        if moves.decided(state) then
          service.state_decided = wall_ms()
        end
      end
      if not service.state_decided then open = open + 1 end
    end
    if open == 0 then return true end
    sleep_ms(250)
  until now_ms() > deadline
  return false
end

-- Returns a counter of servers, added up; servers that are gone count nothing.
function moves.sum(servers, name)
  local sum = 0
  for _, server in ipairs(servers) do
    local status, body = http("GET", server.address, "/standin/counters", "",
      {}, 2000)
    if status == 200 then sum = sum + (json_decode(body)[name] or 0) end
  end
  return sum
end

function moves.counters(server)
  local status, body = http("GET", server.address, "/standin/counters", "", {},
    2000)
  return status == 200 and json_decode(body) or nil
end

return moves
