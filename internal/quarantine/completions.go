package quarantine

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	// completionTTL is how long the completion of a request is remembered, and
	// maxCompletions bounds the number of remembered requests.
	completionTTL  = time.Minute
	maxCompletions = 2048
)

// completions remembers the requests that completed last. The zero value is empty.
type completions struct {
	at map[view.Fingerprint]time.Duration
	// order holds the remembered requests; next is the index of the one that is
	// replaced next.
	order []view.Fingerprint
	next  int
}

// add remembers that a request completed.
func (c *completions) add(now time.Duration, fp view.Fingerprint) {
	if c.at == nil {
		c.at = make(map[view.Fingerprint]time.Duration)
	}
	if _, known := c.at[fp]; !known {
		c.remember(fp)
	}
	c.at[fp] = now
}

// remember adds a request in place of the oldest one if there are too many.
func (c *completions) remember(fp view.Fingerprint) {
	if len(c.order) < maxCompletions {
		c.order = append(c.order, fp)
		return
	}
	delete(c.at, c.order[c.next])
	c.order[c.next] = fp
	c.next = (c.next + 1) % maxCompletions
}

// contains reports whether a request completed within completionTTL.
func (c *completions) contains(now time.Duration, fp view.Fingerprint) bool {
	at, known := c.at[fp]
	return known && now-at < completionTTL
}
