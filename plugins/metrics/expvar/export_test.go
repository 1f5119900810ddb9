package expvar

import (
	"expvar"

	"gooseberrylane.example/kernel"
)

// VariableNames returns the names of the variables that this plug-in itself publishes.
func VariableNames() []string {
	vars := viewVars(kernel.NewState())
	addRuntimeVars(vars)
	var names []string
	vars.Do(func(kv expvar.KeyValue) { names = append(names, kv.Key) })
	return names
}
