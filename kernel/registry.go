package kernel

import (
	"fmt"
	"sort"
	"sync"

	"go.uber.org/fx"
)

// Kind names a kind of plug-in, such as "front_end" or "hedging".
type Kind string

// Plugin describes one plug-in to the kernel.
type Plugin struct {
	Kind Kind
	Name string
	// Default selects the plug-in when the settings name none of its kind.
	Default bool
	// Settings returns a pointer to the settings with their defaults, or nil when the plug-in has none.
	Settings func() any
	// Options returns the fx options that provide the plug-in with the given settings.
	Options func(settings any) fx.Option
}

// Checker is implemented by settings with rules beyond the validate tags. Check returns all problems, with paths relative
// to the settings.
type Checker interface {
	Check() []Problem
}

// Registry holds the plug-ins linked into a program. The zero value is ready to use.
type Registry struct {
	mu      sync.Mutex
	plugins map[Kind]map[string]Plugin
}

// Add registers a plug-in. It panics on an incomplete or duplicate registration, which is a programming error.
func (r *Registry) Add(p Plugin) {
	if p.Kind == "" || p.Name == "" || p.Options == nil {
		panic(fmt.Sprintf("kernel: incomplete plug-in %q of kind %q", p.Name, p.Kind))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plugins == nil {
		r.plugins = make(map[Kind]map[string]Plugin)
	}
	if r.plugins[p.Kind] == nil {
		r.plugins[p.Kind] = make(map[string]Plugin)
	}
	if _, exists := r.plugins[p.Kind][p.Name]; exists {
		panic(fmt.Sprintf("kernel: plug-in %q of kind %q registered twice", p.Name, p.Kind))
	}
	r.plugins[p.Kind][p.Name] = p
}

// Find returns the plug-in with the given kind and name.
func (r *Registry) Find(kind Kind, name string) (Plugin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.plugins[kind][name]
	return p, ok
}

// Names returns the sorted names of all plug-ins of a kind.
func (r *Registry) Names(kind Kind) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.plugins[kind]))
	for name := range r.plugins[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// defaults returns the plug-ins that are selected by default, sorted by kind.
func (r *Registry) defaults() []Plugin {
	var plugins []Plugin
	for _, kind := range r.Kinds() {
		for _, name := range r.Names(kind) {
			if p, _ := r.Find(kind, name); p.Default {
				plugins = append(plugins, p)
			}
		}
	}
	return plugins
}

// Kinds returns the sorted kinds that have a plug-in.
func (r *Registry) Kinds() []Kind {
	r.mu.Lock()
	defer r.mu.Unlock()
	kinds := make([]Kind, 0, len(r.plugins))
	for kind := range r.plugins {
		kinds = append(kinds, kind)
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i] < kinds[j] })
	return kinds
}

var defaultRegistry Registry

// Register adds a plug-in to the registry of the program. Plug-ins call it in init.
func Register(p Plugin) { defaultRegistry.Add(p) }

// DefaultRegistry returns the registry of the program.
func DefaultRegistry() *Registry { return &defaultRegistry }
