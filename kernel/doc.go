// Package kernel is the core that plug-ins register with: the registry, the checked settings, the lifecycle on fx,
// the published state, and the clock and random source. It imports no plug-in.
package kernel
