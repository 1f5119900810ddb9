package selection

// usualCandidates is the number of candidates that need no allocation.
const usualCandidates = 8

// index is a small set of positions in a candidate list.
type index struct {
	n     int
	small [usualCandidates]int
	more  []int
}

func (x *index) add(i int) {
	if x.n < usualCandidates {
		x.small[x.n] = i
	} else {
		if x.more == nil {
			x.more = append(make([]int, 0, 2*usualCandidates), x.small[:]...)
		}
		x.more = append(x.more, i)
	}
	x.n++
}

func (x *index) list() []int {
	if x.more != nil {
		return x.more
	}
	return x.small[:x.n]
}

// keep returns the positions that pass a test, or all of them when none does.
func (x *index) keep(test func(int) bool) index {
	var kept index
	for _, i := range x.list() {
		if test(i) {
			kept.add(i)
		}
	}
	if kept.n == 0 {
		return *x
	}
	return kept
}
