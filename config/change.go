package config

import "fmt"

// CheckChange reports the problems of publishing "to" after "from", two deployments
// that are valid on their own: a revision that doesn't increase, an ID that is reused
// for another service or upstream, a token key that becomes the first before all
// processes have it or is dropped while it is the first. It returns [Problems], or
// nil if there are none.
func CheckChange(from, to Deployment) error {
	var c checker
	if to.Revision <= from.Revision {
		c.add("revision", "%d is not greater than %d, so it would not come into force", to.Revision, from.Revision)
	}
	c.tokenKeyChange(from.TokenKeys, to.TokenKeys)
	c.idChange(from, to)
	return c.problems.errorOrNil()
}

// tokenKeyChange checks that a rotation takes its steps one by one: add the new key
// as the second, make it the first, drop the old key.
func (c *checker) tokenKeyChange(from, to []TokenKey) {
	if len(from) == 0 || len(to) == 0 {
		return
	}
	contains := func(keys []TokenKey, k TokenKey) bool {
		for _, other := range keys {
			if other == k {
				return true
			}
		}
		return false
	}
	if !contains(from, to[0]) {
		c.add("token-keys.0", "key %s must be published as the second key before it becomes the first", to[0].Name)
	}
	if !contains(to, from[0]) {
		c.add("token-keys", "key %s still issues tokens: make another key the first before dropping it", from[0].Name)
	}
}

func (c *checker) idChange(from, to Deployment) {
	owners := make(map[string]string)
	for _, s := range from.Services {
		owners[fmt.Sprintf("service id %d", s.ID)] = s.Name
		for _, u := range s.Upstreams {
			owners[fmt.Sprintf("upstream id %d", u.ID)] = s.Name + "'s " + u.Name
		}
	}
	check := func(place, id, owner string) {
		if old, ok := owners[id]; ok && old != owner {
			c.add(place+".id", "%s belonged to %s, and open flows may still refer to it", id, old)
		}
	}
	for _, s := range to.Services {
		place := "services." + s.Name
		check(place, fmt.Sprintf("service id %d", s.ID), s.Name)
		for _, u := range s.Upstreams {
			check(place+".upstreams."+u.Name, fmt.Sprintf("upstream id %d", u.ID), s.Name+"'s "+u.Name)
		}
	}
}
