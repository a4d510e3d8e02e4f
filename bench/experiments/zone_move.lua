-- One of three availability zones is taken out under load and brought back
-- with cold servers. The baseline sends the calls straight to as many servers
-- and gives the returning ones their full share at once.
local mesh = require("mesh")
local caller = require("caller")
local serving = require("serving")
local report = require("report")

local SERVICE = "inventaire"
local SERVERS = 6
local ZONE = "qc-east-1"
local RATE = 600
local RUN_MS = 42000
local OUT_MS = 10000 -- the zone goes out this long after the first call
local BACK_MS = 22000
-- A cold server bears one call at a time for its first 5 s.
local BEHAVIOUR = { work_ms = 20, warm_up_ms = 5000, cold_load = 1 }
local CALLS = { { method = "GET", path = "/inventaire/stock" } }

local site = serving.start_site(SERVICE, SERVERS, BEHAVIOUR)
local moved, stay = {}, {}
for _, server in ipairs(site.servers) do
  table.insert(server.node.zone == ZONE and moved or stay, server)
end
for _, node in ipairs(site.nodes) do
  mesh.wait_until("node serves", 30000, function()
    return http("GET", node.caller, "/inventaire/stock") == 200
  end)
end
sleep_ms(BEHAVIOUR.warm_up_ms)
caller.run({ targets = serving.callers(site), calls = CALLS, rate = RATE,
  duration_ms = 6000, retries = 2 }) -- warms the servers up
local before = serving.sum(site.servers, "fell_over")
local file = run.folder .. "/calls"
local started = caller.start({ targets = serving.callers(site), calls = CALLS,
  rate = RATE, duration_ms = RUN_MS, retries = 2, calls_file = file })
local start = now_ms()

local function wait_since_start(ms)
  sleep_ms(math.max(0, math.floor(start + ms - now_ms())))
end

local function move(direction)
  local code, output = site:command({ "zone", direction, ZONE, "--author",
    "marie", "--reason", "maintenance" })
  assert(code == 0, output)
end

wait_since_start(OUT_MS)
local accepted = wall_ms() -- before the command, so the delay counts in full
move("out")
wait_since_start(BACK_MS)
local last = 0
for _, server in ipairs(moved) do
  local counters = serving.counters(server)
  last = math.max(last, counters.last_call_ms)
  serving.behave(server, { restart = true })
end
move("in")
local result = caller.finish(started)
local fell_over = serving.sum(site.servers, "fell_over") - before

local calm, move_time = {}, {}
for _, call in ipairs(caller.calls(file)) do
  if call.outcome == "answered" then
    table.insert(call.due_us < OUT_MS * 1000 and calm or move_time,
      call.latency_us)
  end
end
table.sort(calm)
table.sort(move_time)
local ran_again = 0
for _, server in ipairs(moved) do
  local counters = serving.counters(server)
  if counters and counters.last_call_ms > last + 5000 then
    ran_again = ran_again + 1
  end
end
site:stop()

-- Baseline: servers without nodes.
local bare = serving.start_bare(SERVICE, SERVERS, BEHAVIOUR)
sleep_ms(BEHAVIOUR.warm_up_ms + 500)
local base = caller.start({ targets = serving.addresses(bare), calls = CALLS,
  rate = RATE, duration_ms = 15000 })
sleep_ms(5000)
for index = 1, #moved do serving.behave(bare[index], { restart = true }) end
caller.finish(base)
return report.finish("zone_move", {
  last_call_s = (last - accepted) / 1000,
  calls = result.calls,
  calls_lost = caller.lost(result),
  fell_over = fell_over,
  servers_back = ran_again,
  p99_ratio = serving.quantile(move_time, 0.99) / serving.quantile(calm, 0.99),
  baseline_fell_over = serving.sum(bare, "fell_over"),
})
