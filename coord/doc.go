// Package coord is the root of the coordination packages. They make decisions without I/O, so that a daemon can drive
// them with sockets, a test with tables and an embedding program with its own transport. Each package covers one concern.
//
//   - query: which sub-requests and attempts a query sends, and what its answer reports (Machine)
//   - fanout: which attempts a routed request sends, and what its answer is
//   - routing, gatherers: which service and which VM handle a routed request
//   - selection, eject: which replica receives an attempt
//   - hedge, retry, budget: when another attempt is sent, and how many
//   - admission: which requests an entry VM starts, queues or refuses
//   - limit: which queued request gets the next slot of an upstream
//   - drain, catalog: which upstreams receive no new work
//   - reach: which failure domains are cut off
//   - snapshot: which index version an answer is pinned to
//   - ownership, membership: which VM may use an upstream
//   - config: how the configuration changes and in which order
//   - idempotency: whether a non-idempotent request may be sent
//   - circuit: when a failing dependency may be called again
//   - burn: how fast an error budget is used
//
// The packages import package core and each other, but neither a transport nor a codec. Time and random numbers are
// passed in.
package coord
