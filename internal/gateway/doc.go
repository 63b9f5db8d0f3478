// Package gateway is the process that serves callers on the users' platform.
//
// One control loop owns what is known of the configuration, the targets, the evacuated
// failure domains and the other entries; it publishes snapshots that traffic reads. Each
// service has a book of slots behind a lock of its own.
//
// # Knowledge
//
// Three kinds come from the store, each a duty: the configuration, the targets, and the
// marks on evacuated failure domains. All go the same way, in these files:
//
//   - reader.go: who reads a kind and when. The live entries have an order for each duty,
//     and each reads when what it knows is older than its place in the order says, so
//     that one keeps the others from ever having to.
//   - begin.go: the same for an entry that knows nothing yet.
//   - knowledge.go, evacuation.go: what follows from an answer of the store.
//   - spread.go, pull.go: others are told by versions, revisions and ages; whoever lacks
//     something pulls it. Word may come twice, late and in any order: it counts by its
//     version or revision alone.
//   - fresh.go: how old a kind may be where a request is served by it. An entry with
//     callers reads for itself before that age, and the first request after a pause
//     waits for the answer.
//   - outage.go: what is kept while the store is away. The configuration and the marks
//     hold until something newer is known; targets whose records lapse meanwhile are
//     awaited for a while.
//
// The bound of a kind is that of the settings: until a configuration is in force, until a
// leaving target gets nothing more, until a domain is empty. Nobody is served before all
// kinds are known that the settings ask for (control.complete).
package gateway
