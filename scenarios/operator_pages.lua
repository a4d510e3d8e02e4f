-- Checks that every sample on the operator pages is the actual output of a
-- command. A line that starts with "$ gentianlug" is run, and its output is
-- compared with the rest of the block; times, addresses and hashes are masked.
-- A comment "<!-- sample: NAME ARGUMENT... -->" calls prepare.NAME to set up
-- the state for the next sample. With UPDATE_PAGES=1 in the environment the
-- samples are rewritten instead.
local mesh = require("mesh")
local update = os.getenv("UPDATE_PAGES") == "1"
local pages = { "first-day", "apply-and-go-back", "rollout", "zone",
  "alarm-platform-down", "alarm-version-refused", "alarm-zone-lagging",
  "alarm-rollout-taken-back" }
local examples = run.source .. "/examples/beaudoin/"

local function put(site, key, value)
  local status, body = http("PUT", site.platform, "/objects?key=" .. key,
    json_encode({ value = json_encode(value) }))
  assert(status == 200, body)
end

local function objects(site, prefix)
  local status, body = http("GET", site.platform, "/list?prefix=" .. prefix)
  assert(status == 200, body)
  return json_decode(body).objects
end

local function edit(name, change)
  local path = run.folder .. "/" .. name
  local text = read_file(path)
  local from, to = change:match("^(.-) => (.*)$")
  local start, stop = text:find(from, 1, true)
  assert(start, "no \"" .. from .. "\" in " .. name)
  write_file(path, text:sub(1, start - 1) .. to .. text:sub(stop + 1))
end

-- Setup functions that the comments on the pages can call.
local prepare = {}

function prepare.nodes(site, count)
  for number = 1, tonumber(count) do
    local node = site:add_node("commandes-" .. number, "qc-east-" .. number)
    site:add_server(node, "commandes")
  end
end

-- Waits until the zones report all nodes at the given version.
function prepare.settle(site, version)
  mesh.wait_until("every zone reports version " .. version, 30000, function()
    local current = 0
    for _, object in ipairs(objects(site, "status/")) do
      local status = json_decode(object.value)
      for _, row in ipairs(status.versions) do
        if row.version == tonumber(version) then
          current = current + row.nodes
        end
      end
    end
    return current == #site.nodes
  end)
end

function prepare.edit(_, name, ...)
  edit(name, table.concat({ ... }, " "))
end

function prepare.apply(site, author, ...)
  local code, output = site:apply(run.folder .. "/base.json",
    run.folder .. "/qc-east.json", author, table.concat({ ... }, " "))
  assert(code == 0, output)
end

function prepare.down(site) site:set_platform_faults({ down = true }) end
function prepare.up(site) site:set_platform_faults({ down = false }) end

-- Writes a rollout state as the controller of a rollout does.
function prepare.rollout(site, phase, share, ...)
  put(site, "live/rollout/commandes", { id = "commandes@v2@4102444800",
    service = "commandes", version = "v2", phase = phase,
    share = tonumber(share), non_idempotent_share = tonumber(share),
    finish_by_ms = 4102444800000, epoch = 1,
    reason = table.concat({ ... }, " "), write_id = "controller" })
end

-- Writes a zone status as a relay does: VERSION:NODES pairs and, optionally, a
-- refusal.
function prepare.status(site, zone, versions, node, version, ...)
  local rows = {}
  for held, nodes in versions:gmatch("(%d+):(%d+)") do
    rows[#rows + 1] = { version = tonumber(held), nodes = tonumber(nodes) }
  end
  local value = { zone = zone, site = "qc-east", versions = rows,
    updated_at_ms = wall_ms() }
  if node then
    value.refusals = { { node = node, version = tonumber(version),
      reason = table.concat({ ... }, " ") } }
  end
  put(site, "status/" .. zone, value)
end

-- Splits a command line into words; double quotes group words. Names of JSON
-- files get the path of the work folder.
local function split_command(line)
  local packed = line:gsub('"([^"]*)"', function(text)
    return (text:gsub(" ", "\2"))
  end)
  local words = {}
  for word in packed:gmatch("%S+") do
    word = word:gsub("\2", " ")
    words[#words + 1] = word:gsub("([%w-]+%.json)", run.folder .. "/%1")
  end
  return words
end

local function mask(text)
  text = text:gsub("%d%d%d%d%-%d%d%-%d%d %d%d:%d%d:%d%d UTC", "TIME")
  text = text:gsub("127%.0%.0%.1:%d+", "ADDRESS")
  return (text:gsub("%x%x%x%x%x%x%x%x%x%x%x%x%x%x%x%x+", "HASH"))
end

-- Runs the command of one sample and returns the output expected on the page.
local function run_sample(site, command)
  local words = split_command(command:gsub("^%$ gentianlug ", ""))
  local code, output = site:command(words)
  output = output:gsub(run.folder:gsub("%p", "%%%0") .. "/", "")
  output = output:gsub("\n$", "")
  if code ~= 0 then output = output .. "\n(exit code " .. code .. ")" end
  return output
end

local function check_page(name)
  local path = run.source .. "/docs/operators/" .. name .. ".md"
  local site = mesh.new("qc-east")
  write_file(run.folder .. "/base.json", read_file(examples .. "base.json"))
  write_file(run.folder .. "/qc-east.json",
    read_file(examples .. "qc-east.json"))
  local lines, samples = {}, 0
  local expected, actual
  for line in (read_file(path)):gmatch("([^\n]*)\n") do
    local directive = line:match("^<!%-%- sample: (.*) %-%->$")
    if directive then
      local arguments = {}
      for word in directive:gmatch("%S+") do
        arguments[#arguments + 1] = word
      end
      prepare[table.remove(arguments, 1)](site, table.unpack(arguments))
    end
    if expected and line == "```" then
      if not update then
        assert(mask(table.concat(expected, "\n")) == mask(actual),
          name .. ": the page shows\n" .. table.concat(expected, "\n") ..
          "\nbut the output is\n" .. actual)
      end
      lines[#lines + 1] = actual
      expected = nil
    end
    if expected then
      expected[#expected + 1] = line
    else
      lines[#lines + 1] = line
    end
    if line:find("^%$ gentianlug ") then
      expected, actual = {}, run_sample(site, line)
      samples = samples + 1
    end
  end
  assert(samples > 0, name .. " has no sample")
  if update then write_file(path, table.concat(lines, "\n") .. "\n") end
  site:stop()
  signal(site.platform_pid, mesh.SIGTERM)
end

for _, name in ipairs(pages) do check_page(name) end
