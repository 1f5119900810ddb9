// Package core holds the value types that every part shares: names, configuration, views, queries, answers and
// result codes. It does no I/O and imports no other package of this module.
package core
