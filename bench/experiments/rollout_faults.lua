-- Moves whose control suffers faults at drawn moments: the controller is
-- killed, or stopped past its lease; the platform is down for 15 s; answers of
-- the platform are lost.
local moves = require("moves")
local mesh = require("mesh")
local report = require("report")

local MOVES = 8
local WINDOW_S = 60
local STOP_MS = 9000 -- beyond the lease time of 6 s
local OUTAGE_MS = 15000

local services = {}
for index = 1, MOVES do
  local bad = index % 2 == 0
  services[index] = { name = "service-" .. index, olds = 2, old = {},
    new = bad and { fault = { kind = "fail", after_ms = 1000 *
      draw(15, 40) } } or {} }
end
local site = moves.new(services)
site:call(services, 100, (WINDOW_S + 5) * 1000)
site:begin(function() return WINDOW_S end)
local start = now_ms()

-- Returns the node that steers the move of a service.
local function controller(service)
  for _, servers in ipairs({ service.old_servers, service.new_servers }) do
    for _, server in ipairs(servers) do
      local status = not server.node.away and site.site:status(server.node)
      if status and status.rollout and status.rollout.steers then
        return server.node
      end
    end
  end
end

-- Faults by drawn time; each is started once and ended after its time.
local faults = {}
local function plan(from_s, to_s, length_ms, begin, finish)
  local at = start + 1000 * draw(from_s, to_s)
  table.insert(faults, { at = at, to = at + length_ms, begin = begin,
    finish = finish })
end
for index, service in ipairs(services) do
  local node
  if index % 4 < 2 then
    plan(4, 45, STOP_MS, function()
      node = controller(service)
      if not node then return end
      node.away = true
      signal(node.pid, mesh.SIGKILL)
      wait_exit(node.pid, 5000)
    end, function()
      if not node then return end
      site.site:start_node(node)
      node.away = false
    end)
  else
    plan(4, 45, STOP_MS, function()
      node = controller(service)
      if not node then return end
      node.away = true
      signal(node.pid, mesh.SIGSTOP)
    end, function()
      if not node then return end
      signal(node.pid, mesh.SIGCONT)
      node.away = false
    end)
  end
end
plan(5, 40, OUTAGE_MS, function() site.site:platform_faults({ down = true }) end,
  function() site.site:platform_faults({ lose_answers = 0.2 }) end)

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

-- The writers of each state: controllers that differ under one epoch would be
-- two holders.
local writers, two_holders = {}, 0
local function observe(service, state)
  local key = service.name .. "/" .. state.epoch
  if writers[key] and writers[key] ~= state.controller then
    two_holders = two_holders + 1
  end
  writers[key] = state.controller
end

local shares_at_end, late = nil, 0
local deadline = start + (WINDOW_S + 40) * 1000
repeat
  run_faults()
  site:watch(0, observe)
  -- Each node decides by itself at the finish time: afterwards servers of a
  -- version that is not done get no calls.
  if not shares_at_end and now_ms() > start + (WINDOW_S + 1) * 1000 then
    shares_at_end = {}
    for index, service in ipairs(services) do
      shares_at_end[index] = moves.sum(service.new_servers, "ran")
    end
  end
  local open = 0
  for _, service in ipairs(services) do
    if not service.state_decided then open = open + 1 end
  end
  for _, fault in ipairs(faults) do
    if fault.finish then open = open + 1 end
  end
until (open == 0 and shares_at_end) or now_ms() > deadline

local on_time, stuck = 0, 0
for index, service in ipairs(services) do
  local state = service.state
  if not service.state_decided then stuck = stuck + 1 end
  local after = moves.sum(service.new_servers, "ran") - shares_at_end[index]
  local done = state and state.phase == "done"
  local in_time = done and service.state_decided <= service.finish * 1000 or
    not done and after == 0
  if in_time then on_time = on_time + 1 end
  print(service.name, json_encode(service.new), json_encode(state or {}), after)
end
site:finish_calls()
return report.finish("rollout_faults", { moves = #services, stuck = stuck,
  decided_on_time_percent = 100 * on_time / #services,
  two_holders = two_holders, faults = #faults })
