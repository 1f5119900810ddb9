package selection

// inlineCandidates is the number of positions that a candidateSet holds without an allocation.
const inlineCandidates = 8

// candidateSet is a set of positions in a list of candidates.
type candidateSet struct {
	n     int
	small [inlineCandidates]int
	more  []int
}

func (s *candidateSet) add(i int) {
	if s.n < inlineCandidates {
		s.small[s.n] = i
	} else {
		if s.more == nil {
			s.more = append(make([]int, 0, 2*inlineCandidates), s.small[:]...)
		}
		s.more = append(s.more, i)
	}
	s.n++
}

func (s *candidateSet) list() []int {
	if s.more != nil {
		return s.more
	}
	return s.small[:s.n]
}

// filter returns the positions that satisfy test, or all of them if none does.
func (s *candidateSet) filter(test func(int) bool) candidateSet {
	var filtered candidateSet
	for _, i := range s.list() {
		if test(i) {
			filtered.add(i)
		}
	}
	if filtered.n == 0 {
		return *s
	}
	return filtered
}
