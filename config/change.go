package config

import "fmt"

// CheckChange reports what would go wrong if "to" were published after "from",
// although each of the two is valid alone: a revision that doesn't grow, an
// identifier given to something else, a token key that is used before the whole
// fleet knows it or dropped while it still issues tokens. It returns [Problems],
// or nil when nothing is wrong.
func CheckChange(from, to Deployment) error {
	var c checker
	if to.Revision <= from.Revision {
		c.add("revision", "%d does not come after %d, so it would not come into force", to.Revision, from.Revision)
	}
	c.tokenKeyChange(from.TokenKeys, to.TokenKeys)
	c.identifierChange(from, to)
	return c.problems.orNil()
}

// tokenKeyChange demands the steps of a rotation: add the new key as the second,
// make it the first, drop the old one.
func (c *checker) tokenKeyChange(from, to []TokenKey) {
	if len(from) == 0 || len(to) == 0 {
		return
	}
	known := func(keys []TokenKey, k TokenKey) bool {
		for _, other := range keys {
			if other == k {
				return true
			}
		}
		return false
	}
	if !known(from, to[0]) {
		c.add("token-keys.0", "key %s must be published as the second key before it becomes the first", to[0].Name)
	}
	if !known(to, from[0]) {
		c.add("token-keys", "key %s still issues tokens: make another key the first before it is dropped", from[0].Name)
	}
}

func (c *checker) identifierChange(from, to Deployment) {
	owners := make(map[string]string)
	for _, s := range from.Services {
		owners[fmt.Sprintf("service id %d", s.ID)] = s.Name
		for _, u := range s.Upstreams {
			owners[fmt.Sprintf("upstream id %d", u.ID)] = s.Name + "'s " + u.Name
		}
	}
	taken := func(place, id, owner string) {
		if old, ok := owners[id]; ok && old != owner {
			c.add(place+".id", "%s was that of %s, and flows may still name it", id, old)
		}
	}
	for _, s := range to.Services {
		place := "services." + s.Name
		taken(place, fmt.Sprintf("service id %d", s.ID), s.Name)
		for _, u := range s.Upstreams {
			taken(place+".upstreams."+u.Name, fmt.Sprintf("upstream id %d", u.ID), s.Name+"'s "+u.Name)
		}
	}
}
