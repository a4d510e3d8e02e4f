-- Rolling restart of every node and backend server under load. Callers retry at
-- another entry node only after a "not run" response or a refused connection.
local mesh = require("mesh")
local caller = require("caller")
local report = require("report")

local site = mesh.new("qc-east")
local targets = {}
for number = 1, 6 do
  local service = number <= 3 and "commandes" or "inventaire"
  local node = site:add_node(service .. "-" .. number,
    "qc-east-" .. (number - 1) % 3 + 1)
  site:add_server(node, service)
  targets[number] = node.caller
end
local examples = run.source .. "/examples/beaudoin/"
assert(site:apply(examples .. "base.json", examples .. "qc-east.json", "marie",
  "first configuration") == 0)
site:wait_version(1, 10000)

-- Waits until a node answers calls to both services.
local function wait_until_answering(node)
  for _, path in ipairs({ "/commandes", "/inventaire" }) do
    mesh.wait_until(node.name .. " answers " .. path, 15000, function()
      return http("POST", node.caller, path, "x") == 200
    end)
  end
end
for _, node in ipairs(site.nodes) do wait_until_answering(node) end
sleep_ms(2000)

local calls_file = run.folder .. "/calls"
local started = caller.start({ targets = targets, rate = 200,
  duration_ms = 42000, retries = 4, calls_file = calls_file,
  calls = { { path = "/inventaire" }, { path = "/commandes" } } })
sleep_ms(1000)
local longest_ms = 0
for _, node in ipairs(site.nodes) do
  signal(node.server.pid, mesh.SIGTERM)
  assert(wait_exit(node.server.pid, 15000) == 0, "server exit")
  local before = now_ms()
  signal(node.pid, mesh.SIGTERM)
  assert(wait_exit(node.pid, 15000) == 0, "node exit")
  longest_ms = math.max(longest_ms, now_ms() - before)
  site:start_node(node)
  site:start_server(node.server)
  wait_until_answering(node)
  sleep_ms(1000)
end
local restarts_ended_at = now_ms()
local result = caller.finish(started)
local figures = { calls = result.calls, cut = caller.lost_calls(result),
  not_run = result.not_run, unknown = result.unknown,
  connection_cut = result.cut, refused = result.refused,
  timeout = result.timeout, wrong = result.wrong, tries = result.tries,
  longest_stop_ms = longest_ms, p99_ms = result.p99_ms }
local last_due_ms = 0
for _, call in ipairs(caller.read_calls(calls_file)) do
  last_due_ms = math.max(last_due_ms,
    call.due_us / 1000 + result.started_wall_ms)
end
-- The load must last until the rolling restart is complete.
local restarts_ended_ms = wall_ms() - (now_ms() - restarts_ended_at)
figures.load_outlasted_roll = last_due_ms >= restarts_ended_ms
site:stop()
return report.finish("planned_stop", figures)
