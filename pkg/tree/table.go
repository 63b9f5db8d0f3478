package tree

import (
	"regexp"
	"slices"
	"strings"
	"time"
)

var (
	methodForm = regexp.MustCompile(`^[A-Z]{1,20}$`)
	nameForm   = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
)

// distinctMatches returns a predicate that reports whether the strings of a list are
// distinct and all match pattern.
func each(pattern *regexp.Regexp) func([]string) bool {
	return func(list []string) bool {
		for i, s := range list {
			if !pattern.MatchString(s) || slices.Contains(list[:i], s) {
				return false
			}
		}
		return true
	}
}

// isProbePath reports whether s is a URL path of at most 200 bytes without query,
// fragment and white space.
func isProbePath(s string) bool {
	return strings.HasPrefix(s, "/") && len(s) <= 200 && !strings.ContainsAny(s, " ?#\r\n\t")
}

func table() []Field {
	return slices.Concat(requestFields(), choiceFields(), probeFields(), healthFields(), edgeFields())
}

func requestFields() []Field {
	return []Field{
		between(spans, spec{
			name: "timeout", def: "2s", low: "1ms", high: "10m",
			help: "Time for a whole request when the caller gives no deadline of its own, and the most that it may ask for.",
		}, func(p *Policy) *time.Duration { return &p.Timeout }),
		within(lists, spec{
			name: "idempotent", def: "GET,HEAD,OPTIONS",
			help: "Methods whose requests may run more than once.",
		}, "a list of different HTTP methods in capitals such as GET", each(methodForm),
			func(p *Policy) *[]string { return &p.Idempotent }),
		flag(spec{
			name: "requirekey", def: "false",
			help: "Whether a non-idempotent request without an Idempotency-Key is refused.",
		}, func(p *Policy) *bool { return &p.RequireKey }),
		between(shares, spec{
			name: "retryshare", def: "10%", low: "0%", high: "100%",
			help: "Retries and hedges, as a share of first tries.",
		}, func(p *Policy) *float64 { return &p.RetryShare }),
		between(numbers, spec{
			name: "attempts", def: "3", low: "1", high: "10",
			help: "Most dispatches of one request, the first included.",
		}, func(p *Policy) *int { return &p.Attempts }),
		flag(spec{
			name: "hedge", def: "false",
			help: "Whether a slow idempotent request is sent to a second target.",
		}, func(p *Policy) *bool { return &p.Hedge }),
		between(spans, spec{
			name: "hedgeafter", def: "50ms", low: "1ms", high: "1m",
			help: "Wait for an answer before a hedge is sent.",
		}, func(p *Policy) *time.Duration { return &p.HedgeAfter }),
	}
}

func choiceFields() []Field {
	return []Field{
		between(numbers, spec{
			name: "entries", def: "2", low: "1", high: "16",
			help: "Home entries of a service: how many entries locate names for it.",
		}, func(p *Policy) *int { return &p.Entries }),
		between(numbers, spec{
			name: "slots", def: "2", low: "1", high: "1024",
			help: "Requests that one target runs at a time, unless the VM list says otherwise.",
		}, func(p *Policy) *int { return &p.Slots }),
		between(numbers, spec{
			name: "queue", def: "256", low: "0", high: "100000",
			help: "Requests of a service that wait for a slot at one entry; more are refused.",
		}, func(p *Policy) *int { return &p.Queue }),
		between(spans, spec{
			name: "maxwait", def: "100ms", low: "1ms", high: "10m",
			help: "Expected wait for a slot above which a request is refused at once.",
		}, func(p *Policy) *time.Duration { return &p.MaxWait }),
		oneOf(spec{
			name: "policy", def: FreeSlot,
			words: []string{FreeSlot, LeastInFlight, TwoChoices, RoundRobin, Random},
			help:  "How a target is chosen.",
		}, func(p *Policy) *string { return &p.Policy }),
		within(lists, spec{
			name: "places", def: "",
			help: "Names of the places in which the service runs; an empty list stands for every place.",
		}, "a list of different place names", each(nameForm),
			func(p *Policy) *[]string { return &p.Places }),
	}
}

func probeFields() []Field {
	return []Field{
		between(shares, spec{
			name: "probeshare", def: "0.5%", low: "0%", high: "20%",
			help: "Probe budget of a service, as a share of its targets' time.",
		}, func(p *Policy) *float64 { return &p.ProbeShare }),
		between(spans, spec{
			name: "probecost", def: "1ms", low: "10us", high: "10s",
			help: "Target time that one probe is expected to take, until it is measured.",
		}, func(p *Policy) *time.Duration { return &p.ProbeCost }),
		within(words, spec{
			name: "probepath", def: "/healthz",
			help: "Path that a probe requests.",
		}, "a path such as /healthz", isProbePath, func(p *Policy) *string { return &p.ProbePath }),
		between(spans, spec{
			name: "probeafter", def: "2s", low: "10ms", high: "1h",
			help: "Time without an answer after which a target is worth a probe.",
		}, func(p *Policy) *time.Duration { return &p.ProbeAfter }),
	}
}

func healthFields() []Field {
	return []Field{
		between(shares, spec{
			name: "ejectshare", def: "30%", low: "0%", high: "90%",
			help: "Most targets that may be ejected at a time.",
		}, func(p *Policy) *float64 { return &p.EjectShare }),
		between(spans, spec{
			name: "trialmin", def: "50ms", low: "1ms", high: "1m",
			help: "First pause of an ejected target before a trial request; it doubles up to trialmax.",
		}, func(p *Policy) *time.Duration { return &p.TrialMin }),
		between(spans, spec{
			name: "trialmax", def: "1s", low: "1ms", high: "10m",
			help: "Longest pause of an ejected target before a trial request.",
		}, func(p *Policy) *time.Duration { return &p.TrialMax }),
		between(numbers, spec{
			name: "warmup", def: "8", low: "1", high: "1000",
			help: "Answers until a new target gets more than one request at a time.",
		}, func(p *Policy) *int { return &p.Warmup }),
		between(spans, spec{
			name: "leavehold", def: "1m", low: "1s", high: "1h",
			help: "How long a target's word that it is leaving outweighs a VM list that says live.",
		}, func(p *Policy) *time.Duration { return &p.LeaveHold }),
	}
}

func edgeFields() []Field {
	return []Field{
		between(spans, spec{
			name: "drainhold", def: "15s", low: "0s", high: "10m",
			help: "How long a leaving entry serves on, at least locatettl so that every locate answer has expired.",
		}, func(p *Policy) *time.Duration { return &p.DrainHold }),
		between(spans, spec{
			name: "locatettl", def: "10s", low: "100ms", high: "5m",
			help: "How long a caller may keep a locate answer.",
		}, func(p *Policy) *time.Duration { return &p.LocateTTL }),
		between(spans, spec{
			name: "retryafter", def: "1s", low: "0s", high: "10m",
			help: "Least Retry-After of a refusal.",
		}, func(p *Policy) *time.Duration { return &p.RetryAfter }),
		between(sizes, spec{
			name: "maxbody", def: "8MB", low: "0B", high: "1024MB",
			help: "Largest body of a request.",
		}, func(p *Policy) *int64 { return &p.MaxBody }),
	}
}
