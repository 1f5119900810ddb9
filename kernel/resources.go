package kernel

import (
	"fmt"

	"gooseberrylane.example/core"
)

// Resources are what the VM gives the process. 0 means that the settings do not say.
type Resources struct {
	// MemoryBytes is the memory that the process may use for its state: memory_mb less what the program itself takes.
	MemoryBytes int64
	// Sockets is the number of sockets that the process may have open.
	Sockets int64
}

// Shares of Resources that plug-ins take unless their settings say otherwise.
const (
	// CallerMemoryShare is for requests of callers: headers and bodies.
	CallerMemoryShare = 0.2
	// ConnectionMemoryShare is for the connections of callers: stacks, buffers and state.
	ConnectionMemoryShare = 0.1
	// AnswerMemoryShare is for answers of upstreams.
	AnswerMemoryShare = 0.2
	// LinkMemoryShare is for requests that are being handed over to other VMs.
	LinkMemoryShare = 0.05
	// maxHeldShare bounds the memory that the settings of all plug-ins let them hold together. The rest up to the limit of the
	// garbage collector is for tables, state and garbage, and what is beyond that limit for the program and for bytes that the
	// operating system has received.
	maxHeldShare = 0.55

	// CallerSocketShare is for connections of callers, UpstreamSocketShare for those to upstreams. The rest is for links,
	// the platform, and connections that are being closed.
	CallerSocketShare   = 0.4
	UpstreamSocketShare = 0.4
)

// MemoryHolder is implemented by settings of plug-ins that bound the memory that the plug-in holds.
type MemoryHolder interface {
	// HeldBytes returns the bound.
	HeldBytes(Resources) int64
}

// Resources returns what the settings say about the resources of the VM.
func (s *Settings) Resources() Resources {
	memory := s.MemoryMB << 20
	return Resources{MemoryBytes: max(memory-programBytes, memory/4), Sockets: s.MaxSockets}
}

// programBytes is the memory of the program and its libraries.
const programBytes = 16 << 20

// gcLimitShare is the share of the memory of the process from which the garbage collector runs as often as necessary, if that leaves
// gcMarginBytes for the program and for what the garbage collector does not see.
const (
	gcLimitShare  = 0.75
	gcMarginBytes = 24 << 20
)

// GCLimit returns the memory limit of the garbage collector, in bytes; 0 means no limit.
func (s *Settings) GCLimit() int64 {
	memory := s.MemoryMB << 20
	return max(min(int64(gcLimitShare*float64(memory)), memory-gcMarginBytes), memory/4)
}

// heldRounding allows for shares that are rounded up to a whole connection.
const heldRounding = 64 << 10

// checkMemory checks that what the plug-ins may hold together fits into the memory of the process.
func checkMemory(loaded *Loaded) []Problem {
	resources := loaded.Settings.Resources()
	if resources.MemoryBytes == 0 {
		return nil
	}
	var held int64
	for _, selected := range loaded.Selected {
		if holder, ok := selected.Settings.(MemoryHolder); ok {
			held += holder.HeldBytes(resources)
		}
	}
	limit := int64(maxHeldShare * float64(resources.MemoryBytes))
	if held <= limit+heldRounding {
		return nil
	}
	return []core.Problem{{Path: "memory_mb", Detail: fmt.Sprintf("the plug-ins may hold %d bytes together, more than %d, which is %.2f of the memory for state", held, limit, maxHeldShare)}}
}
