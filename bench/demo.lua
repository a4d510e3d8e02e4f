-- Demonstrates the main features on the stand-ins, as described in the README.
local mesh = require("mesh")
local caller = require("caller")
local site = mesh.new("qc-east")
local examples = run.source .. "/examples/beaudoin/"

local function print_heading(text) print("\n== " .. text) end

local function operator(words, limit_ms)
  print("$ gentianlug " .. table.concat(words, " "))
  local code, output = site:command(words, limit_ms)
  io.write(output)
  return code
end

local function add_servers(service, version, count, behaviour)
  for number = 1, count do
    local node = site:add_node(service .. "-" .. version .. "-" .. number,
      "qc-east-" .. (number - 1) % 3 + 1)
    local extra = { version = version }
    for key, value in pairs(behaviour or {}) do extra[key] = value end
    site:add_server(node, service, extra)
  end
end

print_heading("One node for each backend server, in three zones")
add_servers("inventaire", "v1", 5)
add_servers("commandes", "v1", 3)
add_servers("catalogue", "v1", 3)

print_heading("The sample base and overlay")
assert(operator({ "apply", "--base", examples .. "base.json", "--overlay",
  "qc-east=" .. examples .. "qc-east.json", "--author", "marie", "--reason",
  "first configuration" }) == 0)
site:wait_version(1, 10000)

print_heading("One order")
mesh.wait_until("an order is answered", 10000, function()
  local status, body = http("POST", site.nodes["inventaire-v1-1"].caller,
    "/commandes", "one glue pot", { ["order-id"] = "demo-1" })
  if status ~= 200 then return false end
  print("The backend server says: " .. body)
  return true
end)

print_heading(
  "Load from callers, two rollouts: catalogue v2 is good, inventaire v2 fails")
local targets = {}
for index, node in ipairs(site.nodes) do targets[index] = node.caller end
local load = caller.start({ targets = targets, rate = 150,
  duration_ms = 75000, retries = 2, calls = {
    { method = "GET", path = "/catalogue/pots" },
    { method = "GET", path = "/inventaire/pots" },
    { method = "POST", path = "/commandes", weight = 1 } } })
add_servers("catalogue", "v2", 3)
add_servers("inventaire", "v2", 2, { fault = { kind = "fail", rate = 1 } })
local base = read_file(examples .. "base.json")
local finish = os.date("!%Y-%m-%dT%H:%M:%SZ", wall_ms() // 1000 + 45)
local rollouts = string.format([["rollouts": [
  { "service": "catalogue", "version": "v2", "finish_by": "%s" },
  { "service": "inventaire", "version": "v2", "finish_by": "%s" } ],
  "services"]], finish, finish)
write_file(run.folder .. "/base-2.json",
  (base:gsub('"services"', function() return rollouts end, 1)))
assert(operator({ "apply", "--base", run.folder .. "/base-2.json",
  "--overlay", "qc-east=" .. examples .. "qc-east.json", "--author", "marie",
  "--reason", "new versions" }) == 0)
operator({ "wait", "rollout", "inventaire", "--timeout-s", "60" }, 70000)
operator({ "wait", "rollout", "catalogue", "--timeout-s", "60" }, 70000)
for _, name in ipairs({ "catalogue", "inventaire" }) do
  operator({ "rollout", "status", name })
end

print_heading("A zone out and back")
assert(operator({ "zone", "out", "qc-east-2", "--author", "marie",
  "--reason", "work on the power supply" }) == 0)
operator({ "zone", "status" })
assert(operator({ "zone", "in", "qc-east-2", "--author", "marie", "--reason",
  "power is back" }) == 0)
operator({ "status" })

local result = caller.finish(load)
print(string.format("\nOf %d calls %d were answered in full.", result.calls,
  result.answered))
site:stop()
