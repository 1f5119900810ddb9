// Package coord is the root of the coordination parts: decisions without I/O that a daemon drives with sockets, a test
// with a table and an embedding program with its own transport. Each package below holds one noun.
//
//   - query: what one query sends, retries, hedges and may claim (Machine)
//   - selection, eject: which replica gets a sub-request
//   - hedge, retry, budget: when a second one is sent, and how many
//   - limit: which waiting request gets the next slot of an upstream
//   - drain: when an upstream gets no new work
//   - snapshot: which index version an answer is pinned to
//   - ownership, membership: which VM may use an upstream
//   - config: how the configuration changes and in which order
//   - idempotency: whether a request may be sent
//   - circuit: when a failing dependency may be called again
//   - burn: how fast an error budget is used
//
// The packages import package core and each other, and neither a transport nor a codec. Time and random numbers are
// passed in.
package coord
