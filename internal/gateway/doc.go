// Package gateway implements the load balancer process that forwards callers' requests
// to targets.
//
// An entry is one such process, and its incarnation is one run of it. The entries learn of
// each other by gossip. For each host of the configuration some of them are its owners: the
// directory sends the host's callers to these.
//
// A single control loop owns the state: the configuration, the targets, the evacuated
// failure domains and the other entries. It publishes immutable snapshots (view) that
// request handlers read. Each service has its own balancer behind its own lock.
//
// # Store data
//
// Three resources come from the store: the configuration, the targets, and the
// evacuations of failure domains. All three are handled the same way:
//
//   - reader.go decides which entry reads a resource, and when. The live entries are
//     ranked for each resource. An entry reads when its copy is older than the age set
//     for its rank, so usually the first one reads and the others receive its result.
//   - firstread.go does the same for an entry that has no data yet.
//   - knowledge.go and evacuation.go apply a response of the store.
//   - announce.go and pull.go distribute the data. Entries gossip versions, revisions and
//     ages; an entry that lacks something pulls it. Messages may be duplicated, delayed
//     and reordered, so only the version or revision decides whether one is applied.
//   - fresh.go limits the age of the data by which a request is served. An entry with
//     callers reads for itself before that age, and the first request after a pause
//     waits for the read.
//   - outage.go covers an unavailable store. The configuration and the evacuations stay
//     in force until newer ones arrive. Targets whose records expire in the meantime are
//     kept for a limited time.
//   - restore.go covers a store that was restored from an older copy.
//
// The settings bound the delay of each resource: until a configuration is in force, until
// a leaving target gets no more requests, until an evacuated domain is empty. An entry
// serves no request before it has all resources that the settings require
// (view.initialized).
//
// # Client accounts
//
// A configuration may have client accounts. Requests then carry keys (accounts.go), limited
// accounts need a token for each request (quota.go), and callers may have several requests of
// a connection under way (pipeline.go). An account's tokens come from its issuer, one of the
// live entries; packets about tokens bypass the control loop.
package gateway
