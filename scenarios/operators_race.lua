-- Concurrent operators, lost responses of the platform, a rate limit and an
-- outage: a version is accepted at most once, and every command reports its
-- outcome.
local mesh = require("mesh")
local site = mesh.new("qc-east")
local examples = run.source .. "/examples/beaudoin/"
local base = read_file(examples .. "base.json")

-- Writes a base file with a unique value of one deadline.
local function base_file(number)
  local path = run.folder .. "/base-" .. number .. ".json"
  write_file(path, (base:gsub("20000", tostring(20000 + number))))
  return path
end

local function history()
  local code, output = site:command({ "history", "--json" })
  assert(code == 0, output)
  return json_decode(output).versions
end

-- Several rounds with two concurrent operators: each round accepts one version,
-- or two in sequence, and an operator who loses is told who won.
local overlay = "qc-east=" .. examples .. "qc-east.json"
local accepted = 0
for round = 1, 5 do
  local running = {}
  for index, author in ipairs({ "marie", "paul" }) do
    local log = run.folder .. "/race-" .. round .. "-" .. author .. ".log"
    running[index] = { log = log, author = author, pid = spawn({
      run.binaries .. "/apps/gentianlug", "--platform", site.platform, "apply",
      "--base", base_file(round * 10 + index), "--overlay", overlay,
      "--author", author, "--reason", "round " .. round }, log) }
  end
  for index, command in ipairs(running) do
    local code = wait_exit(command.pid, 30000)
    local output = read_file(command.log)
    if code == 0 then
      accepted = accepted + 1
    else
      local other = running[3 - index].author
      assert(code == 1 and output:find(other .. " was faster with version",
        1, true), output)
    end
  end
  local versions = history()
  assert(versions[#versions].version == accepted,
    "accepted " .. accepted .. ", newest " .. versions[#versions].version)
end

-- Half of the write responses are lost: a command exits with 0 only if its
-- version is accepted, and no version is accepted twice.
site:set_platform_faults({ lose_answers = 0.5 })
for number = 100, 104 do
  local code, output = site:apply(base_file(number), examples ..
    "qc-east.json", "anna", "change " .. number)
  if code ~= 0 then
    assert(code == 3, output)
  else
    accepted = accepted + 1
  end
end
site:set_platform_faults({})
local counts = {}
for _, version in ipairs(history()) do
  counts[version.reason .. version.author] =
    (counts[version.reason .. version.author] or 0) + 1
end
for reason, count in pairs(counts) do
  assert(count == 1, reason .. " was accepted " .. count .. " times")
end
local versions = history()
assert(versions[#versions].version >= accepted)

-- Retries overcome a rate limit.
site:set_platform_faults({ calls_per_second = 5 })
local code, output = site:apply(base_file(200), examples .. "qc-east.json",
  "marie", "under a rate limit")
assert(code == 0, output)
site:set_platform_faults({ down = true })
code, output = site:apply(base_file(201), examples .. "qc-east.json", "marie",
  "during an outage")
assert(code == 3 and output:find("everything in force stays in force"), output)
code, output = site:command({ "zone", "out", "qc-east-1", "--json" })
assert(code == 3 and json_decode(output).code == 3, output)
site:set_platform_faults({})
versions = history()
assert(versions[#versions].reason == "under a rate limit")
