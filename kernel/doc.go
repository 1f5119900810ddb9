// Package kernel is the core with which plug-ins register. It holds the plug-in registry, the checked settings, the
// lifecycle (based on fx), the published state, the clock and the random source. It imports no plug-in.
package kernel
