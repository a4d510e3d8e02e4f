-- Rollouts under control plane faults at random times: the controller is
-- killed, or paused past the expiry of its lease; the platform is down for
-- 15 s; some of its responses are lost.
local rollouts = require("rollouts")
local mesh = require("mesh")
local report = require("report")

local ROLLOUTS = 8
local WINDOW_S = 60
local STOP_MS = 9000 -- beyond the lease time of 6 s
local OUTAGE_MS = 15000

local services = {}
for index = 1, ROLLOUTS do
  local bad = index % 2 == 0
  services[index] = { name = "service-" .. index, old_count = 2, old = {},
    new = bad and { fault = { kind = "fail", after_ms = 1000 *
      draw(15, 40) } } or {} }
end
local fixture = rollouts.new(services)
fixture:start_caller(services, 100, (WINDOW_S + 5) * 1000)
fixture:start_rollouts(function() return WINDOW_S end)
local start = now_ms()

-- Returns the node that controls the rollout of a service.
local function controller(service)
  for _, servers in ipairs({ service.old_servers, service.new_servers }) do
    for _, server in ipairs(servers) do
      local status = not server.node.unavailable and
        fixture.site:status(server.node)
      if status and status.rollout and status.rollout.steers then
        return server.node
      end
    end
  end
end

-- Each fault begins at a random time and ends after its duration.
local faults = {}
local function add_fault(from_s, to_s, length_ms, begin, finish)
  local at = start + 1000 * draw(from_s, to_s)
  table.insert(faults, { at = at, to = at + length_ms, begin = begin,
    finish = finish })
end
for index, service in ipairs(services) do
  local node
  if index % 4 < 2 then
    add_fault(4, 45, STOP_MS, function()
      node = controller(service)
      if not node then return end
      node.unavailable = true
      signal(node.pid, mesh.SIGKILL)
      wait_exit(node.pid, 5000)
    end, function()
      if not node then return end
      fixture.site:start_node(node)
      node.unavailable = false
    end)
  else
    add_fault(4, 45, STOP_MS, function()
      node = controller(service)
      if not node then return end
      node.unavailable = true
      signal(node.pid, mesh.SIGSTOP)
    end, function()
      if not node then return end
      signal(node.pid, mesh.SIGCONT)
      node.unavailable = false
    end)
  end
end
add_fault(5, 40, OUTAGE_MS,
  function() fixture.site:set_platform_faults({ down = true }) end,
  function() fixture.site:set_platform_faults({ lose_answers = 0.2 }) end)

local function run_faults()
  for _, fault in ipairs(faults) do
    if fault.begin and now_ms() >= fault.at then
      fault.begin()
      fault.begin = nil
    elseif not fault.begin and fault.finish and now_ms() >= fault.to then
      fault.finish()
      fault.finish = nil
    end
  end
end

-- The controller that wrote each state, by service and epoch. Two controllers
-- in one epoch mean that two nodes held the lease.
local writers, two_holders = {}, 0
local function observe(service, state)
  local key = service.name .. "/" .. state.epoch
  if writers[key] and writers[key] ~= state.controller then
    two_holders = two_holders + 1
  end
  writers[key] = state.controller
end

local calls_at_finish, late = nil, 0
local deadline = start + (WINDOW_S + 40) * 1000
repeat
  run_faults()
  fixture:wait_until_decided(0, observe)
  -- At the finish time each node decides on its own: from then on the servers
  -- of a version whose rollout is not done get no calls.
  if not calls_at_finish and now_ms() > start + (WINDOW_S + 1) * 1000 then
    calls_at_finish = {}
    for index, service in ipairs(services) do
      calls_at_finish[index] = rollouts.sum_counter(service.new_servers, "ran")
    end
  end
  local open = 0
  for _, service in ipairs(services) do
    if not service.decided_at_ms then open = open + 1 end
  end
  for _, fault in ipairs(faults) do
    if fault.finish then open = open + 1 end
  end
until (open == 0 and calls_at_finish) or now_ms() > deadline

local on_time, stuck = 0, 0
for index, service in ipairs(services) do
  local state = service.state
  if not service.decided_at_ms then stuck = stuck + 1 end
  local calls_after_finish = rollouts.sum_counter(service.new_servers, "ran") -
    calls_at_finish[index]
  local done = state and state.phase == "done"
  local in_time = done and service.decided_at_ms <= service.finish * 1000 or
    not done and calls_after_finish == 0
  if in_time then on_time = on_time + 1 end
  print(service.name, json_encode(service.new), json_encode(state or {}),
    calls_after_finish)
end
fixture:finish_callers()
return report.finish("rollout_faults", { moves = #services, stuck = stuck,
  decided_on_time_percent = 100 * on_time / #services,
  two_holders = two_holders, faults = #faults })
