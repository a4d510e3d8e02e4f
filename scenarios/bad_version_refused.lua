-- A version with a missing manifest is rejected: the previous version stays
-- active, the status command reports the refusal, and the next valid version is
-- accepted.
local mesh = require("mesh")
local site = mesh.new("qc-east")
for zone = 1, 3 do
  site:add_node("commandes-" .. zone, "qc-east-" .. zone)
end
local examples = run.source .. "/examples/beaudoin/"
local function apply(reason, extra)
  local words = { "apply", "--base", examples .. "base.json", "--overlay",
    "qc-east=" .. examples .. "qc-east.json", "--author", "marie", "--reason",
    reason }
  for _, word in ipairs(extra or {}) do words[#words + 1] = word end
  local code, output = site:command(words)
  assert(code == 0, output)
end
apply("first configuration")
site:wait_version(1, 30000)

local _, body = http("GET", site.platform, "/objects?key=live/config")
local head = json_decode(json_decode(body).value)
head.version, head.manifest = 2, string.rep("0", 32)
assert(http("PUT", site.platform, "/objects?key=live/config",
  json_encode({ value = json_encode(head) })) == 200)
mesh.wait_until("the status command reports the refusal", 30000, function()
  local _, output = site:command({ "status" })
  return output:find("refused version 2", 1, true) ~= nil
end)
for _, node in ipairs(site.nodes) do
  assert(site:version_in_force(node) == 1, node.name)
end
apply("repaired", { "--rewrite" })
site:wait_version(3, 30000)
site:stop()
