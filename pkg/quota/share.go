package quota

import "time"

// mostHolders is how many entries share a target where the quota allows it. With one, a
// target that is dealt to an entry without requests is of no use; with many, each may
// send so little that it can't make up for the others.
const mostHolders = 3

// Share is what each holder of a target may send it.
type Share struct {
	Holders int           // entries that a target is dealt to
	Each    int           // requests of each within the span of its Ration
	Gap     time.Duration // between two requests of one holder at the least
	Wait    time.Duration // after a share was dealt it begins to count
}
