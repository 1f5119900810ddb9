package http

import "testing"

// FuzzAnswers guards against an answer of the platform that crashes the process, or that lists a VM without a valid name.
func FuzzAnswers(f *testing.F) {
	for _, seed := range []string{
		`[{"key":"a","value":"YQ==","version":1}]`, `[{"name":"a","domain":"d","peer_address":"127.0.0.1:1","leaving":true}]`,
		`[{"name":""},null]`, `null`, `[`, `[{"version":1e400}]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		_, _ = decodeObjects(body)
		vms, _ := decodeVMs(body)
		for _, vm := range vms {
			if vm.Name == "" || len(vm.Name) > maxNameBytes {
				t.Fatalf("VM %q", vm.Name)
			}
		}
	})
}
