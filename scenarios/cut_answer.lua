-- A response that is truncated or lost is an error for the caller, never a
-- short body that appears complete (P7), and a non-idempotent call is not run
-- twice (P9).
local mesh = require("mesh")
local caller = require("caller")
local site = mesh.new("qc-east")
local entry = site:add_node("entry", "qc-east-1")
local serving = site:add_node("serving", "qc-east-1")
local server = site:add_server(serving, "commandes")
local examples = run.source .. "/examples/beaudoin/"
assert(site:apply(examples .. "base.json", examples .. "qc-east.json", "marie",
  "first configuration") == 0)
site:wait_version(1, 30000)
mesh.wait_until("an order is answered through both nodes", 30000, function()
  return http("POST", entry.caller, "/commandes", "warm") == 200
end)

local function set_behaviour(behaviour)
  local status, body = http("POST", server.address, "/standin/behaviour",
    json_encode(behaviour))
  assert(status == 200, body)
end

for _, kind in ipairs({ "cut_answer", "lose_answer" }) do
  set_behaviour({ fault = { kind = kind } })
  local status, _, headers = http("POST", entry.caller, "/commandes",
    "glue", { ["order-id"] = kind }, 10000)
  assert(status == 502, kind .. ": status " .. status)
  assert(headers["gl-outcome"] == "unknown", kind)
  local _, ran = http("GET", server.address, "/standin/ran")
  assert(json_decode(ran)[kind] == 1, kind .. " ran: " .. ran)
end

-- A large response that is truncated in the middle breaks the connection.
set_behaviour({ answer_bytes = 1000000, fault = { kind = "cut_answer" } })
local status, text = http("POST", entry.caller, "/commandes", "glue")
assert(status ~= 200, "a truncated response has status " .. status)
set_behaviour({ answer_bytes = 0, fault = { kind = "none" } })
mesh.wait_until("calls are answered again", 30000, function()
  return http("POST", entry.caller, "/commandes", "after") == 200
end)
site:stop()
