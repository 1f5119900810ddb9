package platform

import (
	"net/http"

	"gooseberrylane.example/standins/control"
)

type empty struct{}

// Control returns the handler of the control calls.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/counts", control.Handle(func(empty) (Counts, error) { return s.Counts(), nil }))
	mux.HandleFunc("POST /v1/faults", control.Handle(func(f Faults) (empty, error) {
		s.SetFaults(f)
		return empty{}, nil
	}))
	mux.HandleFunc("POST /v1/vms", control.Handle(func(vms []VM) (empty, error) {
		s.SetVMs(vms)
		return empty{}, nil
	}))
	mux.HandleFunc("POST /v1/keys", control.Handle(func(prefix string) ([]string, error) { return s.Keys(prefix), nil }))
	return mux
}
