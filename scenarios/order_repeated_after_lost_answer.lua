-- An order whose response was lost is not run again: a repeated request gets
-- the recorded response, and a query of the call state returns it too.
local mesh = require("mesh")
local site = mesh.new("qc-east")
local node = site:add_node("commandes-1", "qc-east-1")
local server = site:add_server(node, "commandes", { work_ms = 400 })

local function order(id, limit_ms)
  return http("POST", node.peer, "/commandes", "one glue pot", {
    ["gl-call-id"] = id, ["gl-idempotent"] = "0", ["gl-deadline-ms"] = "3000",
    ["order-id"] = id }, limit_ms)
end

local function query_call(id)
  local status, body, headers = http("GET", node.peer, "/v1/call/" .. id, "",
    { ["gl-attempt-age-ms"] = "100" })
  assert(status == 200, body)
  return headers["gl-call-state"], body, headers
end

mesh.wait_until("the server takes orders", 30000, function()
  return order("warm-" .. draw(1, 1000000000), 5000) == 200
end)

-- The caller times out before the response; the order continues to run.
assert(order("lost", 100) == 0)
assert(query_call("lost") == "running")
mesh.wait_until("the response is recorded", 10000, function()
  return query_call("lost") == "answered"
end)
local _, body, headers = query_call("lost")
assert(body == "answer to one glue pot", body)
assert(headers["gl-call-status"] == "200")
assert(headers["gl-outcome"] == "answered")

local status
status, body, headers = order("lost", 5000)
assert(status == 200 and body == "answer to one glue pot")
assert(headers["gl-call-id"] == "lost")

-- A node that may have lost the record in a restart does not report the call as
-- unknown: the order may have run.
status = http("GET", node.peer, "/v1/call/older", "",
  { ["gl-attempt-age-ms"] = "3000000" })
assert(status == 503, status)

-- An id that has been reported as unknown is rejected from then on.
assert(query_call("late") == "unknown-id")
status, body, headers = order("late", 5000)
assert(status == 503 and headers["gl-outcome"] == "not-run", body)

_, body = http("GET", server.address, "/standin/ran")
local ran = json_decode(body)
assert(ran.lost == 1, body)
assert(ran.late == nil, body)
site:stop()
