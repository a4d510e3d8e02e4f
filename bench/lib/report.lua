-- Reports the result of an experiment as one line of JSON and checks it against
-- bench/targets.json.
local report = {}

local function within_bound(value, bound)
  if value == nil then return false end
  if bound.max ~= nil and value > bound.max then return false end
  if bound.min ~= nil and value < bound.min then return false end
  return true
end

-- Prints the result and returns whether it meets every target. A script ends
-- with: return report.finish("name", { figure = value })
function report.finish(name, figures)
  local targets = json_decode(read_file(run.source .. "/bench/targets.json"))
  local met = true
  for figure, bound in pairs(targets[name] or {}) do
    if not within_bound(figures[figure], bound) then
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
