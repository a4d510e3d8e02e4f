-- The main job on the stand-ins, as the README describes it.
local mesh = require("mesh")
local site = mesh.new("qc-east")
local examples = run.source .. "/examples/beaudoin/"

print("Starting one node for each backend server in three zones.")
local services = { { "inventaire", 5 }, { "commandes", 3 }, { "catalogue", 3 } }
for _, service in ipairs(services) do
  for number = 1, service[2] do
    local node = site:add_node(service[1] .. "-" .. number,
      "qc-east-" .. (number - 1) % 3 + 1)
    site:add_server(node, service[1])
  end
end

print("Applying the sample base and overlay.")
local code, output = site:apply(examples .. "base.json",
  examples .. "qc-east.json", "marie", "first configuration")
io.write(output)
assert(code == 0)
site:wait_version(1, 10000)

print("Sending one order.")
mesh.wait_until("an order is answered", 10000, function()
  local status, body = http("POST", site.nodes["commandes-1"].caller,
    "/commandes", "one glue pot", { ["order-id"] = "demo-1" })
  if status ~= 200 then return false end
  print("The backend server says: " .. body)
  return true
end)

code, output = site:command({ "status" })
io.write(output)
assert(code == 0)
site:stop()
