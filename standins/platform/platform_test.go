package platform

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestKeysAfter guards against a list that skips, repeats or reorders keys, so that a client would miss changes of the
// log.
func TestKeysAfter(t *testing.T) {
	c := qt.New(t)
	s := New("127.0.0.1:0", 1)
	for _, key := range []string{"b/2", "a/1", "b/1", "c", "b/3", "b"} {
		_, ok := s.put(key, nil, 0, true)
		c.Assert(ok, qt.IsTrue)
	}
	for _, test := range []struct {
		prefix, after string
		want          string
	}{
		{"b/", "", "[b/1 b/2 b/3]"},
		{"b/", "b/1", "[b/2 b/3]"},
		{"b/", "b/11", "[b/2 b/3]"},
		{"b/", "b/3", "[]"},
		{"b/", "c", "[]"},
		{"", "b", "[b/1 b/2 b/3 c]"},
		{"d", "", "[]"},
	} {
		c.Check(fmt.Sprint(s.keysAfter(test.prefix, test.after)), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
	s.remove("b/2", 0)
	c.Check(fmt.Sprint(s.Keys("b/")), qt.Equals, "[b/1 b/3]")
}

// TestListIsBoundedInBytes guards against an answer that exceeds the answer size limit of clients.
func TestListIsBoundedInBytes(t *testing.T) {
	c := qt.New(t)
	s := New("127.0.0.1:0", 1)
	value := make([]byte, MaxValueBytes)
	const objects = 40
	for i := range objects {
		s.put(fmt.Sprintf("k/%02d", i), value, 0, false)
	}
	first := s.listed("k/", "", maxListed)
	c.Assert(len(first)*MaxValueBytes <= maxListedBytes, qt.IsTrue)
	rest := s.listed("k/", first[len(first)-1].Key, maxListed)
	c.Check(len(first)+len(rest), qt.Equals, objects)
}

// TestListOfVMsLags guards against a stand-in that reports changes of the fleet at once, unlike the real platform.
func TestListOfVMsLags(t *testing.T) {
	c := qt.New(t)
	s := New("127.0.0.1:0", 1)
	s.SetFaults(Faults{ListLagMS: 1000})
	s.SetVMs([]VM{{Name: "vm-1"}})
	c.Check(s.listedVMs(s.vmsChanged.Add(999*time.Millisecond)), qt.HasLen, 0)
	c.Check(s.listedVMs(s.vmsChanged.Add(time.Second)), qt.HasLen, 1)
}

// TestRatesAreBounded guards against a stand-in that accepts more calls than its configured rate.
func TestRatesAreBounded(t *testing.T) {
	c := qt.New(t)
	var l rateLimiter
	now := time.Unix(1000, 0)
	taken := func(at time.Time) (n int) {
		for l.allow(at, 10) {
			n++
		}
		return n
	}
	c.Check(taken(now), qt.Equals, 10)
	c.Check(taken(now.Add(500*time.Millisecond)), qt.Equals, 5)
	c.Check(taken(now.Add(time.Hour)), qt.Equals, 10)
	c.Check(l.allow(now.Add(time.Hour), 0), qt.IsTrue)
}
