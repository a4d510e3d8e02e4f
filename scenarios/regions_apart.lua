-- Regions lose each other for an hour: each side keeps its configuration and
-- takes what it can still read, and takes the other side's members out; healed,
-- both agree on the newest version and know every member again. No version in
-- force ever goes back.
for seed = run.seed, run.seed + 9 do
  local regions = region_world(6, seed)
  regions:accept(1)
  regions:advance(60)
  assert(regions:lowest(1) == 1 and regions:lowest(2) == 1)
  assert(regions:known(1) == 12 and regions:known(2) == 12, regions:known(1))

  regions:cut(true)
  regions:advance(60)
  regions:accept(1)
  regions:accept(1)
  regions:advance(3600)
  assert(regions:lowest(1) == 3, "the connected side missed a version")
  assert(regions:lowest(2) == 1, "a version crossed the cut")
  assert(regions:known(1) == 6 and regions:known(2) == 6,
    "members of the other side are still taken for alive")

  regions:cut(false)
  regions:advance(120)
  assert(regions:lowest(1) == 3 and regions:lowest(2) == 3,
    "the regions disagree after the cut, seed " .. seed)
  assert(regions:known(1) == 12 and regions:known(2) == 12,
    "members are missing after the cut, seed " .. seed .. ": " ..
    regions:known(1) .. " and " .. regions:known(2))
  assert(regions:went_back() == 0, "a version went back")
end
