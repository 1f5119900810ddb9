package platform

import (
	"net/http"

	"gooseberrylane.example/standins/control"
)

type none struct{}

// Control returns the handler of the control calls.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/counts", control.Handle(func(none) (Counts, error) { return s.Counts(), nil }))
	mux.HandleFunc("POST /v1/faults", control.Handle(func(f Faults) (none, error) {
		s.SetFaults(f)
		return none{}, nil
	}))
	mux.HandleFunc("POST /v1/vms", control.Handle(func(vms []VM) (none, error) {
		s.SetVMs(vms)
		return none{}, nil
	}))
	mux.HandleFunc("POST /v1/keys", control.Handle(func(prefix string) ([]string, error) { return s.Keys(prefix), nil }))
	return mux
}
