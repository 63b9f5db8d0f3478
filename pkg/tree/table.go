package tree

import (
	"regexp"
	"slices"
	"strings"
	"time"
)

var (
	methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
)

// distinctMatches returns a predicate that reports whether the strings of a list are
// distinct and all match pattern.
func distinctMatches(pattern *regexp.Regexp) func([]string) bool {
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

func allFields() []Field {
	return slices.Concat(requestFields(), balancingFields(), probeFields(), healthFields(), entryFields(), accountFields())
}

func requestFields() []Field {
	return []Field{
		rangeField(durationType, fieldSpec{
			name: "timeout", def: "2s", min: "1ms", max: "10m",
			help: "Time for a whole request when the caller gives no deadline of its own, and the most that it may ask for.",
		}, func(p *Policy) *time.Duration { return &p.Timeout }),
		validatedField(listType, fieldSpec{
			name: "idempotent", def: "GET,HEAD,OPTIONS",
			help: "Methods whose requests may run more than once.",
		}, "a list of different HTTP methods in capitals such as GET", distinctMatches(methodPattern),
			func(p *Policy) *[]string { return &p.Idempotent }),
		boolField(fieldSpec{
			name: "requirekey", def: "false",
			help: "Whether a non-idempotent request without an Idempotency-Key is refused.",
		}, func(p *Policy) *bool { return &p.RequireKey }),
		rangeField(shareType, fieldSpec{
			name: "retryshare", def: "10%", min: "0%", max: "100%",
			help: "Retries and hedges, as a share of first tries.",
		}, func(p *Policy) *float64 { return &p.RetryShare }),
		rangeField(countType, fieldSpec{
			name: "attempts", def: "3", min: "1", max: "10",
			help: "Most dispatches of one request, the first included. One of which nothing was sent, as after a refused connection, doesn't count among the first 3.",
		}, func(p *Policy) *int { return &p.MaxDispatches }),
		boolField(fieldSpec{
			name: "hedge", def: "false",
			help: "Whether a slow idempotent request is sent to a second target.",
		}, func(p *Policy) *bool { return &p.Hedge }),
		rangeField(durationType, fieldSpec{
			name: "hedgeafter", def: "50ms", min: "1ms", max: "1m",
			help: "Wait for an answer before a hedge is sent.",
		}, func(p *Policy) *time.Duration { return &p.HedgeAfter }),
	}
}

func balancingFields() []Field {
	return []Field{
		rangeField(countType, fieldSpec{
			name: "entries", def: "2", min: "1", max: "16",
			help: "Home entries of a service: how many entries locate names for it.",
		}, func(p *Policy) *int { return &p.Entries }),
		rangeField(countType, fieldSpec{
			name: "slots", def: "2", min: "1", max: "1024",
			help: "Requests that one target runs at a time, unless the VM list says otherwise.",
		}, func(p *Policy) *int { return &p.Slots }),
		rangeField(countType, fieldSpec{
			name: "queue", def: "256", min: "0", max: "100000",
			help: "Requests of a service that wait for a slot at one entry; more are refused.",
		}, func(p *Policy) *int { return &p.Queue }),
		rangeField(durationType, fieldSpec{
			name: "maxwait", def: "100ms", min: "1ms", max: "10m",
			help: "Expected wait for a slot above which a request is refused at once.",
		}, func(p *Policy) *time.Duration { return &p.MaxWait }),
		enumField(fieldSpec{
			name: "policy", def: FreeSlot,
			enum: []string{FreeSlot, LeastInFlight, TwoChoices, RoundRobin, Random},
			help: "How a target is chosen.",
		}, func(p *Policy) *string { return &p.Policy }),
		validatedField(listType, fieldSpec{
			name: "places", def: "",
			help: "Names of the places in which the service runs; an empty list stands for every place.",
		}, "a list of different place names", distinctMatches(namePattern),
			func(p *Policy) *[]string { return &p.Places }),
	}
}

func probeFields() []Field {
	return []Field{
		rangeField(shareType, fieldSpec{
			name: "probeshare", def: "0.5%", min: "0%", max: "20%",
			help: "Probe budget of a service, as a share of its targets' time.",
		}, func(p *Policy) *float64 { return &p.ProbeShare }),
		rangeField(durationType, fieldSpec{
			name: "probecost", def: "1ms", min: "10us", max: "10s",
			help: "Target time that one probe is expected to take, until it is measured.",
		}, func(p *Policy) *time.Duration { return &p.ProbeCost }),
		validatedField(stringType, fieldSpec{
			name: "probepath", def: "/healthz",
			help: "Path that a probe requests.",
		}, "a path such as /healthz", isProbePath, func(p *Policy) *string { return &p.ProbePath }),
		rangeField(durationType, fieldSpec{
			name: "probeafter", def: "2s", min: "10ms", max: "1h",
			help: "Time without an answer after which a target is worth a probe.",
		}, func(p *Policy) *time.Duration { return &p.ProbeAfter }),
	}
}

func healthFields() []Field {
	return []Field{
		rangeField(shareType, fieldSpec{
			name: "ejectshare", def: "30%", min: "0%", max: "90%",
			help: "Most targets that may be ejected at a time.",
		}, func(p *Policy) *float64 { return &p.MaxEjectedShare }),
		rangeField(durationType, fieldSpec{
			name: "trialmin", def: "50ms", min: "1ms", max: "1m",
			help: "First pause of an ejected target before a trial request; it doubles up to trialmax.",
		}, func(p *Policy) *time.Duration { return &p.TrialMin }),
		rangeField(durationType, fieldSpec{
			name: "trialmax", def: "1s", min: "1ms", max: "10m",
			help: "Longest pause of an ejected target before a trial request.",
		}, func(p *Policy) *time.Duration { return &p.TrialMax }),
		rangeField(countType, fieldSpec{
			name: "warmup", def: "8", min: "1", max: "1000",
			help: "Answers until a new target gets more than one request at a time.",
		}, func(p *Policy) *int { return &p.WarmupRequests }),
		rangeField(durationType, fieldSpec{
			name: "leavehold", def: "1m", min: "1s", max: "1h",
			help: "How long a target's word that it is leaving outweighs a VM list that says live.",
		}, func(p *Policy) *time.Duration { return &p.LeaveHold }),
	}
}

func entryFields() []Field {
	return []Field{
		rangeField(durationType, fieldSpec{
			name: "drainhold", def: "15s", min: "0s", max: "10m",
			help: "How long a leaving entry serves on, at least locatettl so that every locate answer has expired.",
		}, func(p *Policy) *time.Duration { return &p.DrainHold }),
		rangeField(durationType, fieldSpec{
			name: "locatettl", def: "10s", min: "100ms", max: "5m",
			help: "How long a caller may keep a locate answer.",
		}, func(p *Policy) *time.Duration { return &p.LocateTTL }),
		rangeField(durationType, fieldSpec{
			name: "retryafter", def: "1s", min: "0s", max: "10m",
			help: "Least Retry-After of a refusal.",
		}, func(p *Policy) *time.Duration { return &p.RetryAfter }),
		rangeField(sizeType, fieldSpec{
			name: "maxbody", def: "8MB", min: "0B", max: "1024MB",
			help: "Largest body of a request.",
		}, func(p *Policy) *int64 { return &p.MaxBody }),
	}
}

func accountFields() []Field {
	account := []Kind{AccountKind}
	return []Field{
		boolField(fieldSpec{
			name: "accounts", def: "false", kinds: []Kind{RootKind},
			help: "Whether a request needs the key of an account, unless its service is public.",
		}, func(p *Policy) *bool { return &p.Accounts }),
		boolField(fieldSpec{
			name: "public", def: "false",
			help: "Whether requests of a service need no key.",
		}, func(p *Policy) *bool { return &p.Public }),
		validatedField(listType, fieldSpec{
			name: "keys", def: "", kinds: account, secret: true,
			help: "Keys of an account, as SHA-256 digests in hexadecimal; a key itself must not stand here.",
		}, "a list of different SHA-256 digests of 64 digits 0-9 and a-f", distinctMatches(digestPattern),
			func(p *Policy) *[]string { return &p.Keys }),
		rangeField(countType, fieldSpec{
			name: "priority", def: "0", min: "0", max: "1000", kinds: account,
			help: "Rank of an account's requests, 0 first. It is checked and has no effect yet.",
		}, func(p *Policy) *int { return &p.Priority }),
		rangeField(numberType, fieldSpec{
			name: "rate", def: "0", min: "0", max: "1000000", kinds: account,
			help: "Requests a second of an account over all entries; 0 means no limit. It is checked and has no effect yet.",
		}, func(p *Policy) *float64 { return &p.Rate }),
		rangeField(numberType, fieldSpec{
			name: "burst", def: "0", min: "0", max: "1000000", kinds: account,
			help: "Requests that an account may send at once beyond its rate. It is checked and has no effect yet.",
		}, func(p *Policy) *float64 { return &p.Burst }),
	}
}
