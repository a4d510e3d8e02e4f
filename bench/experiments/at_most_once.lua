-- Non-idempotent calls under killed nodes and servers, silent connections, late
-- and swapped responses, and graceful shutdowns. Servers append the id of each
-- order to a file before they run it, so that the counts survive a kill.
local mesh = require("mesh")
local caller = require("caller")
local report = require("report")
local serving = require("serving")

local SECONDS, RATE, NODES, RELAYED = 34, 700, 6, 2
-- One response in a hundred is 600 ms late, after the entry node has started to
-- query the call state.
local late = { kind = "slow", rate = 0.01, slow_factor = 60 }
-- The other servers send some responses on the connection of another call.
local swapped = { kind = "swap_answers", rate = 0.05 }
local examples = run.source .. "/examples/beaudoin/"

local site = mesh.new("qc-east")
local entries, nodes, relays = {}, {}, {}
for number = 1, 3 do
  entries[number] = site:add_node("entry-" .. number, "qc-east-" .. number)
end
for number = 1, NODES do
  local extra, relay = {}, nil
  if number > NODES - RELAYED then
    relay = { listen = "127.0.0.1:" .. free_port(),
      admin = "127.0.0.1:" .. free_port() }
    extra.peer_address = relay.listen
  end
  local node = site:add_node("commandes-" .. number,
    "qc-east-" .. (number - 1) % 3 + 1, extra)
  if relay then
    relays[#relays + 1] = relay
    mesh.start_standin("blackhole", "relay-" .. number, {
      listen = relay.listen, to = node.peer, admin = relay.admin })
  end
  site:add_server(node, "commandes", { work_ms = 10, warm_up_ms = 300,
    ran_file = run.folder .. "/ran-" .. number,
    fault = number % 2 == 0 and swapped or late })
  nodes[number] = node
end
local code, output = site:apply(examples .. "base.json",
  examples .. "qc-east.json", "marie", "first configuration")
assert(code == 0, output)
site:wait_version(1, 15000)
for _, entry in ipairs(entries) do
  mesh.wait_until("an order is answered", 15000, function()
    return http("POST", entry.caller, "/commandes", "x") == 200
  end)
end

-- Wall clock times of kills. Graceful shutdowns and silent connections do not
-- excuse an unknown outcome.
local kills = {}

local function kill(process, restart)
  kills[#kills + 1] = wall_ms()
  signal(process.pid, mesh.SIGKILL)
  wait_exit(process.pid, 10000)
  restart(process)
end
local function kill_node(node)
  kill(node, function() site:start_node(node) end)
end
local function kill_server(node)
  kill(node.server, function() site:start_server(node.server) end)
end
local function stop_node(node)
  signal(node.pid, mesh.SIGTERM)
  assert(wait_exit(node.pid, 15000) == 0, node.name .. " did not stop")
  site:start_node(node)
end
local function silence(relay)
  local status, body = http("POST", relay.admin, "/admin",
    json_encode({ silence = true }))
  assert(status == 200, body)
end

local calls_file = run.folder .. "/calls"
local targets = {}
for index, entry in ipairs(entries) do targets[index] = entry.caller end
local started_wall = wall_ms()
local started = caller.start({ targets = targets, rate = RATE,
  duration_ms = SECONDS * 1000, retries = 2, calls_file = calls_file,
  calls = { { path = "/commandes", body_bytes = 60 } } })
local events = {
  function() kill_server(nodes[1]) end,
  function() silence(relays[1]) end,
  function() kill_node(nodes[2]) end,
  function() stop_node(nodes[3]) end,
  function() silence(relays[2]) end,
  function() kill_server(nodes[4]) end,
  function() kill_node(entries[2]) end,
  function() stop_node(entries[1]) end,
  function() kill_node(nodes[1]) end,
  function() silence(relays[1]) end,
}
for _, event in ipairs(events) do
  local began = now_ms()
  event()
  sleep_ms(math.floor(math.max(0, 3000 - (now_ms() - began))))
end
local result = caller.finish(started)

local ran = {}
for number = 1, NODES do
  local path = run.folder .. "/ran-" .. number
  for order in io.lines(path) do ran[order] = (ran[order] or 0) + 1 end
end

-- Returns whether a process was killed while the call was in flight, or up to
-- 1 s before, when connections to that process were still being closed.
local function overlaps_kill(call)
  local from = started_wall + call.due_us / 1000 - 1000
  local to = started_wall + (call.due_us + call.latency_us) / 1000 + 100
  for _, at in ipairs(kills) do
    if at >= from and at <= to then return true end
  end
  return false
end

local figures = { calls = 0, kills = #kills, answered = result.answered,
  not_run = 0, unknown = 0, run_twice = 0, not_run_but_ran = 0,
  wrong_or_cut = 0, unknown_without_kill = 0, answered_but_not_ran = 0 }
for _, call in ipairs(serving.read_calls(calls_file)) do
  figures.calls = figures.calls + 1
  local times = ran[call.order] or 0
  if call.outcome == "not_run" or call.outcome == "refused" then
    figures.not_run = figures.not_run + 1
    if times > 0 then figures.not_run_but_ran = figures.not_run_but_ran + 1 end
  elseif call.outcome == "wrong" or call.outcome == "error" then
    figures.wrong_or_cut = figures.wrong_or_cut + 1
  elseif call.outcome == "cut" then
    if not overlaps_kill(call) then
      figures.wrong_or_cut = figures.wrong_or_cut + 1
    end
  elseif call.outcome ~= "answered" then
    figures.unknown = figures.unknown + 1
    if not overlaps_kill(call) then
      figures.unknown_without_kill = figures.unknown_without_kill + 1
    end
  elseif times == 0 then
    figures.answered_but_not_ran = figures.answered_but_not_ran + 1
  end
end
for _, times in pairs(ran) do
  if times > 1 then figures.run_twice = figures.run_twice + 1 end
end
site:stop()
return report.finish("at_most_once", figures)
