-- The result of an experiment: one JSON line, checked against its targets.
local report = {}

local function holds(value, bound)
  if value == nil then return false end
  if bound.max ~= nil and value > bound.max then return false end
  if bound.min ~= nil and value < bound.min then return false end
  return true
end

-- Prints the result; returns whether every bound in targets.json holds.
-- A script ends with: return report.finish("name", { figure = value })
function report.finish(name, figures)
  local targets = json_decode(read_file(run.source .. "/bench/targets.json"))
  local met = true
  for figure, bound in pairs(targets[name] or {}) do
    if not holds(figures[figure], bound) then
      met = false
      print("target missed: " .. name .. "." .. figure .. " = " ..
        tostring(figures[figure]) .. ", bound " .. json_encode(bound))
    end
  end
  print(json_encode({ name = name, seed = run.seed, nodes = run.nodes,
    figures = figures, met = met }))
  return met
end

return report
