-- Two regions are partitioned for an hour. Each side keeps its configuration,
-- accepts the versions that it can still read, and removes the members of the
-- other side. After the partition both agree on the newest version and know
-- every member again. The active version of a node never decreases.
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
  assert(regions:lowest(2) == 1, "a version crossed the partition")
  assert(regions:known(1) == 6 and regions:known(2) == 6,
    "members of the other side are still considered alive")

  regions:cut(false)
  regions:advance(120)
  assert(regions:lowest(1) == 3 and regions:lowest(2) == 3,
    "the regions disagree after the partition, seed " .. seed)
  assert(regions:known(1) == 12 and regions:known(2) == 12,
    "members are missing after the partition, seed " .. seed .. ": " ..
    regions:known(1) .. " and " .. regions:known(2))
  assert(regions:went_back() == 0, "an active version decreased")
end
