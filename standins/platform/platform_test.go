package platform

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestKeysAfter guards against a list that skips, repeats or mixes up keys, which would lose changes of the log.
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

// TestListIsBoundedInBytes guards against an answer that is larger than clients read.
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
