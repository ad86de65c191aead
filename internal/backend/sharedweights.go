package backend

// ShareableWeights defines which prompt parts made under a version of a model's weights may be copied from one runner or
// cache store to another. The zero value allows none.
//
// Parts are found by a salt that names the version for which their request was sent. A runner that takes newer
// weights while it reads a prompt goes on under the newer ones, and keeps the parts under the salt of the request, so
// the salt alone doesn't tell under which weights a part was made. It does as long as no newer version has been named,
// since no runner can have newer weights before. Once one has been, it does for the parts that a cache store was known
// to hold before: a store never replaces a part, and drops nothing for new weights, whereas a runner may drop a part
// and make it anew. A runner's own parts need no such proof: it drops all of them when it takes other weights, and
// takes no more requests for earlier ones.
type ShareableWeights struct {
	version uint64
	// replacedBy is the number of the naming that replaced the version, 0 if no newer one has been named.
	replacedBy uint64
}

// AreNewest reports whether no newer version has been named, so that all that is made under the weights may be copied.
func (w ShareableWeights) AreNewest() bool { return w.version > 0 && w.replacedBy == 0 }

// ShareableWeights returns which parts made under the version may be copied. This is the only place that makes a value
// other than zero.
func (s *Set) ShareableWeights(model string, version uint64) ShareableWeights {
	if version < s.newestWeights[model] && s.weightTargets.Target(model) <= version {
		// A runner has newer weights whose naming has not reached this router.
		return ShareableWeights{}
	}
	replacedBy, known := s.weightTargets.replacement(model, version)
	if !known {
		return ShareableWeights{}
	}
	return ShareableWeights{version: version, replacedBy: replacedBy}
}

// storePart is a prompt part in a cache store.
type storePart struct {
	store string
	hash  uint64
}

// recordStorePart records after which naming a cache store was first known to hold a part, or that it no longer does.
func (s *Set) recordStorePart(store string, hash uint64, removed bool) {
	part := storePart{store, hash}
	if removed {
		delete(s.storeParts, part)
		return
	}
	if _, known := s.storeParts[part]; !known {
		s.storeParts[part] = s.weightTargets.changes
	}
}

// storeHasAllBefore reports whether the cache store has held all shared parts of the prompt since before the weights were replaced.
func (s *Set) storeHasAllBefore(store string, query *Query, weights ShareableWeights) bool {
	for _, anchor := range query.anchors(weights.version) {
		if naming, known := s.storeParts[storePart{store, anchor.Hash}]; !known || naming >= weights.replacedBy {
			return false
		}
	}
	return len(query.Shared) > 0
}

// hasStoredSince reports whether the cache store got the prompt's last part after the weights were replaced. A runner that fetches
// from the store takes that part as well, which belongs to the request's session if an earlier request had it.
func (s *Set) hasStoredSince(store string, query *Query, weights ShareableWeights) bool {
	naming, known := s.storeParts[storePart{store, PartHash(Salt(query.Owner, weights.version), query.LastPart)}]
	return known && naming >= weights.replacedBy
}

// isStoredBefore reports whether one of the holders is a cache store that has held all shared parts of the prompt since before the
// weights were replaced.
func (s *Set) isStoredBefore(holders map[string]int, query *Query, weights ShareableWeights) bool {
	for holder := range holders {
		if s.cacheStores[holder] && s.storeHasAllBefore(holder, query, weights) {
			return true
		}
	}
	return false
}
