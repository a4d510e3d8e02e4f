-- Connections between nodes become half-open under load and stay so: no
-- idempotent call is lost, no order runs twice, and the connections are
-- detected quickly.
local mesh = require("mesh")
local caller = require("caller")
local report = require("report")

local site = mesh.new("qc-east")
local entries = {}
for number = 1, 2 do
  entries[number] = site:add_node("entry-" .. number, "qc-east-" .. number)
end
local relays, servers = {}, {}
for number, service in ipairs({ "inventaire", "inventaire", "commandes",
  "commandes" }) do
  local relay = { listen = "127.0.0.1:" .. free_port(),
    admin = "127.0.0.1:" .. free_port() }
  local node = site:add_node("serving-" .. number,
    "qc-east-" .. (number - 1) % 2 + 1, { peer_address = relay.listen })
  mesh.start_standin("blackhole", "relay-" .. number, { listen = relay.listen,
    to = node.peer, admin = relay.admin })
  servers[number] = site:add_server(node, service)
  relays[number] = relay
end
local examples = run.source .. "/examples/beaudoin/"
assert(site:apply(examples .. "base.json", examples .. "qc-east.json", "marie",
  "first configuration") == 0)
site:wait_version(1, 10000)
for _, entry in ipairs(entries) do
  for _, path in ipairs({ "/inventaire", "/commandes" }) do
    mesh.wait_until("calls are answered", 10000, function()
      return http("POST", entry.caller, path, "x") == 200
    end)
  end
end

local calls_file = run.folder .. "/calls"
local started = caller.start({
  targets = { entries[1].caller, entries[2].caller }, rate = 200,
  duration_ms = 20000, calls_file = calls_file,
  calls = { { path = "/inventaire", weight = 2 }, { path = "/commandes" } } })
local silences, silenced = {}, 0
for round = 1, 5 do
  sleep_ms(3500)
  local relay = relays[draw(1, #relays)]
  silences[round] = wall_ms()
  local status, body = http("POST", relay.admin, "/admin",
    json_encode({ silence = true }))
  assert(status == 200, body)
  silenced = silenced + json_decode(body).silenced
end
local result = caller.finish(started)

-- A call on a silent connection takes at least half a second. The end of the
-- last such call of a round bounds the detection time.
local SLOW_CALL_US = 400000
local figures = { calls = result.calls, silenced = silenced,
  idempotent_lost = 0, orders_lost = 0, detect_s = 0, slow_calls = 0,
  run_twice = 0, max_ms = result.max_ms }
for _, call in ipairs(caller.read_calls(calls_file)) do
  if call.outcome ~= "answered" then
    local figure = call.path == "/inventaire" and "idempotent_lost" or
      "orders_lost"
    figures[figure] = figures[figure] + 1
  end
  if call.latency_us > SLOW_CALL_US then
    figures.slow_calls = figures.slow_calls + 1
    local ended = result.started_wall_ms +
      (call.due_us + call.latency_us) / 1000
    local silence
    for _, at in ipairs(silences) do
      if at < ended then silence = at end
    end
    if silence then
      figures.detect_s = math.max(figures.detect_s, (ended - silence) / 1000)
    end
  end
end
for number = 3, 4 do
  local _, ran = http("GET", servers[number].address, "/standin/ran")
  for _, times in pairs(json_decode(ran)) do
    if times > 1 then figures.run_twice = figures.run_twice + 1 end
  end
end
site:stop()
return report.finish("silent_connections", figures)
