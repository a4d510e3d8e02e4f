-- A server is killed while it runs an order. The outcome is unknown: the order
-- may have run, so it must not be reported as not-run. Later orders, of which
-- no byte reaches a server, are rejected as not-run.
local mesh = require("mesh")
local site = mesh.new("qc-east")
local node = site:add_node("commandes-1", "qc-east-1")
local server = site:add_server(node, "commandes", { work_ms = 0,
  ran_file = run.folder .. "/ran" })

local function order(id, limit_ms)
  return http("POST", node.peer, "/commandes", "one glue pot", {
    ["gl-call-id"] = id, ["gl-idempotent"] = "0", ["gl-deadline-ms"] = "3000",
    ["order-id"] = id }, limit_ms)
end

mesh.wait_until("the server takes orders", 30000, function()
  return order("warm-" .. draw(1, 1000000000), 5000) == 200
end)
assert(http("POST", server.address, "/standin/behaviour",
  json_encode({ work_ms = 20000 })) == 200)
assert(order("cut", 100) == 0)
mesh.wait_until("the order runs", 10000, function()
  return read_file(run.folder .. "/ran"):find("cut\n") ~= nil
end)
signal(server.pid, mesh.SIGKILL)
wait_exit(server.pid, 10000)

local body, headers
mesh.wait_until("the outcome is recorded", 10000, function()
  _, body, headers = http("GET", node.peer, "/v1/call/cut")
  return headers and headers["gl-call-state"] == "answered"
end)
assert(headers["gl-outcome"] == "unknown", headers["gl-outcome"])
assert(headers["gl-call-status"] == "504", headers["gl-call-status"])
local status
status, body, headers = order("cut", 5000)
assert(status == 504 and headers["gl-outcome"] == "unknown", body)
status, body, headers = order("next", 5000)
assert(status == 503 and headers["gl-outcome"] == "not-run", body)
site:stop()
