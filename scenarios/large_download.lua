-- A large response reaches its caller complete while the nodes buffer only a
-- part of it in memory.
local mesh = require("mesh")
local caller = require("caller")
local site = mesh.new("qc-east")
local entry = site:add_node("entry", "qc-east-1")
local serving = site:add_node("serving", "qc-east-1")
local bytes = 24 << 20
local server = site:add_server(serving, "catalogue", { answer_bytes = bytes })
local examples = run.source .. "/examples/beaudoin/"
assert(site:apply(examples .. "base.json", examples .. "qc-east.json", "marie",
  "first configuration") == 0)
site:wait_version(1, 30000)

-- Returns the peak resident memory of a process in kB.
local function peak_kb(pid)
  local file = assert(io.open("/proc/" .. pid .. "/status"))
  local peak = file:read("a"):match("VmHWM:%s+(%d+)")
  file:close()
  return tonumber(peak)
end

mesh.wait_until("the nodes know the server", 30000, function()
  return http("POST", entry.caller, "/catalogue/manuels", "x", {}, 20000) == 200
end)
local before = { peak_kb(entry.pid), peak_kb(serving.pid) }
local result = caller.run({ targets = { entry.caller }, rate = 4,
  duration_ms = 2000, timeout_ms = 30000,
  calls = { { path = "/catalogue/manuels", answer_bytes = bytes } } })
assert(result.answered == result.calls and result.calls > 0,
  json_encode(result))
-- A node that buffered whole responses would grow by 24 MB for each.
for index, node in ipairs({ entry, serving }) do
  local grown = peak_kb(node.pid) - before[index]
  assert(grown < 16 << 10, node.name .. " grew by " .. grown .. " kB")
end
site:stop()
