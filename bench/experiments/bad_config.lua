-- Invalid versions are written directly to the platform's objects. Every node
-- must reject each of them completely, keep the active version, and report the
-- reason.
local mesh = require("mesh")
local report = require("report")
local site = mesh.new("qc-east")
local examples = run.source .. "/examples/beaudoin/"
local LIMIT_MS = 20000

local function put(key, value)
  return http("PUT", site.platform, "/objects?key=" .. key,
    json_encode({ value = value }))
end

local function get(key)
  local status, body = http("GET", site.platform, "/objects?key=" .. key)
  assert(status == 200, key .. ": " .. body)
  return json_decode(body).value
end

for number = 1, 3 do
  local node = site:add_node("commandes-" .. number, "qc-east-1")
  site:add_server(node, "commandes")
end
local code, output = site:apply(examples .. "base.json",
  examples .. "qc-east.json", "marie", "good configuration")
assert(code == 0, output)
site:wait_version(1, 60000)

-- The parts of the valid version, by name.
local head = json_decode(get("live/config"))
local valid_parts = {}
for name, hash in pairs(
  json_decode(get("object/" .. head.manifest)).sites["qc-east"].parts) do
  valid_parts[name] = get("object/" .. hash)
end
local shards = {}
for name in pairs(valid_parts) do
  if name:find("^services/") then shards[#shards + 1] = name end
end
table.sort(shards)

local function add_route(text, path, service)
  local part = json_decode(text)
  part.routes = part.routes or {}
  part.routes[#part.routes + 1] = { name = path:sub(2), path = path,
    service = service, idempotent = true }
  return json_encode(part)
end

local function root_hash(hashes)
  local names = {}
  for name in pairs(hashes) do names[#names + 1] = name end
  table.sort(names)
  local text = ""
  for _, name in ipairs(names) do
    text = text .. name .. "=" .. hashes[name] .. "\n"
  end
  return content_hash(text)
end

local version = 1

local function write_head(manifest)
  version = version + 1
  put("live/config", json_encode({ version = version, manifest = manifest,
    author = "nobody", reason = "bad version", accepted_at_ms = wall_ms(),
    write_id = "bad-" .. version }))
end

local function write_manifest(site_name, root, hashes)
  local text = json_encode({ sites = { [site_name] = { root = root,
    parts = hashes } } })
  put("object/" .. content_hash(text), text)
  write_head(content_hash(text))
end

-- Writes a version whose first shard has a new valid route "/marker". The
-- function corrupt(texts, hashes) damages the rest and may return a wrong root
-- hash. A node that answers on "/marker" has applied the version in part.
local function write_version(corrupt)
  local texts, hashes = {}, {}
  for name, text in pairs(valid_parts) do texts[name] = text end
  texts[shards[1]] = add_route(valid_parts[shards[1]], "/marker",
    json_decode(valid_parts[shards[1]]).services[1].name)
  for name, text in pairs(texts) do
    hashes[name] = content_hash(text)
    put("object/" .. hashes[name], text)
  end
  local root = corrupt(texts, hashes)
  write_manifest("qc-east", root or root_hash(hashes), hashes)
end

-- Replaces a part and its hash, so that only its content is invalid.
local function replace_part(hashes, name, text)
  hashes[name] = content_hash(text)
  put("object/" .. hashes[name], text)
end

local invalid_versions = {
  { "head is malformed JSON", function()
    put("live/config", "{\"version\": 2, \"manif")
  end, true },
  { "head has a wrong type", function()
    put("live/config", json_encode({ version = "two", manifest = 7 }))
  end, true },
  { "manifest is missing", function() write_head(("0"):rep(32)) end },
  { "manifest is malformed JSON", function()
    put("object/" .. ("1"):rep(32), "{\"sites\": {\"qc-east\": ")
    write_head(("1"):rep(32))
  end },
  { "manifest lacks the site", function()
    write_manifest("elsewhere", "x", { site = "y" })
  end },
  { "part is missing", function()
    write_version(function(_, hashes) hashes[shards[2]] = ("2"):rep(32) end)
  end },
  { "part is altered", function()
    write_version(function(texts, hashes)
      local text = texts[shards[2]] .. " "
      hashes[shards[2]] = ("3"):rep(32)
      put("object/" .. ("3"):rep(32), text)
    end)
  end },
  { "root hash is wrong", function()
    write_version(function() return ("4"):rep(32) end)
  end },
  { "part is half written", function()
    write_version(function(texts, hashes)
      replace_part(hashes, shards[2],
        texts[shards[2]]:sub(1, #texts[shards[2]] // 2))
    end)
  end },
  { "route dangles", function()
    write_version(function(texts, hashes)
      replace_part(hashes, shards[2],
        add_route(texts[shards[2]], "/dangling", "nowhere"))
    end)
  end },
  { "part has a wrong type", function()
    write_version(function(_, hashes)
      replace_part(hashes, shards[2], "{\"services\": \"all\"}")
    end)
  end },
  { "part has a number out of range", function()
    write_version(function(_, hashes)
      replace_part(hashes, shards[2], "{\"zone_round_trip_us\": 1E99999}")
    end)
  end },
  { "part is nested too deeply", function()
    write_version(function(_, hashes)
      replace_part(hashes, shards[2], ("["):rep(100000) .. ("]"):rep(100000))
    end)
  end },
  { "part is too large for the platform", function()
    write_version(function(texts, hashes)
      local text = texts[shards[2]] .. (" "):rep(1100000)
      hashes[shards[2]] = content_hash(text)
      local status = put("object/" .. hashes[shards[2]], text)
      assert(status == 413, "status " .. status)
    end)
  end },
}

local function marker_status(node)
  return (http("GET", node.caller, "/marker", "", {}, 5000))
end

local unknown_route = marker_status(site.nodes[1])
assert(unknown_route ~= 200)

-- Returns the number of nodes that use any part of the invalid version.
local function count_applied()
  local applied = 0
  for _, node in ipairs(site.nodes) do
    local status
    mesh.wait_until(node.name .. " answers", LIMIT_MS, function()
      status = site:status(node)
      return status and status.control
    end)
    -- Status 0 means no response and is inconclusive.
    local marker
    mesh.wait_until(node.name .. " answers a call", LIMIT_MS, function()
      marker = marker_status(node)
      return marker ~= 0
    end)
    if status.control.config_version ~= 1 or marker ~= unknown_route then
      print(node.name .. " holds version " .. status.control.config_version ..
        "; the new route answers with status " .. marker)
      applied = applied + 1
    end
  end
  return applied
end

-- Returns the reason that a zone reports for rejecting a version. A malformed
-- head has no version; nodes report it as version 0.
local function find_reason(wanted, seen)
  for _, object in ipairs(json_decode(select(2, http("GET", site.platform,
    "/list?prefix=status/"))).objects) do
    for _, refusal in ipairs(json_decode(object.value).refusals or {}) do
      if refusal.version == wanted and refusal.reason ~= "" and
        not seen[refusal.reason] then
        return refusal.reason
      end
    end
  end
end

local figures = { versions_tried = 0, applied_in_part = 0,
  refused_without_reason = 0 }
local seen = {}
for _, entry in ipairs(invalid_versions) do
  local name, write, without_version = table.unpack(entry)
  write()
  figures.versions_tried = figures.versions_tried + 1
  local reason
  local deadline = now_ms() + LIMIT_MS
  repeat
    reason = find_reason(without_version and 0 or version,
      without_version and seen or {})
    if not reason then sleep_ms(20) end
  until reason or now_ms() > deadline
  if reason then
    seen[reason] = true
    print(name .. ": " .. reason:sub(1, 160))
  else
    figures.refused_without_reason = figures.refused_without_reason + 1
    print(name .. ": no reason within " .. LIMIT_MS .. " ms")
  end
  figures.applied_in_part = figures.applied_in_part + count_applied()
end

-- The nodes still accept a valid version.
code, output = site:apply(examples .. "base.json", examples .. "qc-east.json",
  "marie", "good again")
assert(code == 0, output)
site:wait_version(version + 1, 60000)
site:stop()
return report.finish("bad_config", figures)
