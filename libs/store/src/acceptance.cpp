#include "gentianlug/store/acceptance.h"

namespace gentianlug::store {

static accepted_version withoutEarlier(const config_head &Head) {
  return {Head.Version, Head.ManifestHash, Head.Author,
          Head.Reason,  Head.AcceptedAt,   Head.WriteId};
}

std::vector<accepted_version> knownVersions(const config_head &Head) {
  if (Head.WriteId.empty())
    return {};
  std::vector<accepted_version> Versions{withoutEarlier(Head)};
  Versions.insert(Versions.end(), Head.EarlierVersions.begin(),
                  Head.EarlierVersions.end());
  return Versions;
}

config_head nextHead(const config_head &Current,
                     const acceptance_proposal &Proposal) {
  config_head Next;
  Next.Version = Current.Version + 1;
  Next.ManifestHash = Proposal.ManifestHash;
  Next.Author = Proposal.Author;
  Next.Reason = Proposal.Reason;
  Next.AcceptedAt = Proposal.Now;
  Next.WriteId = Proposal.WriteId;
  Next.EarlierVersions = knownVersions(Current);
  if (Next.EarlierVersions.size() > MaxRetainedVersions - 1)
    Next.EarlierVersions.resize(MaxRetainedVersions - 1);
  return Next;
}

std::optional<accepted_version> findVersion(const config_head &Head,
                                            config_version Version) {
  for (accepted_version &Entry : knownVersions(Head))
    if (Entry.Version == Version)
      return std::move(Entry);
  return std::nullopt;
}

write_result determineWriteOutcome(const config_head &Attempt,
                                   object_revision Expected,
                                   const observed_head &Observed) {
  for (accepted_version &Entry : knownVersions(Observed.Head))
    if (Entry.WriteId == Attempt.WriteId)
      return {write_outcome::Accepted, std::move(Entry)};
  if (Observed.Revision == Expected)
    return {write_outcome::Retryable, {}};
  if (auto Winner = findVersion(Observed.Head, Attempt.Version))
    return {write_outcome::LostRace, std::move(*Winner)};
  return {write_outcome::Unknown, withoutEarlier(Observed.Head)};
}

} // namespace gentianlug::store
