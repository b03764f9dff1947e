package limiter

// account is what one class has of an amount: used may rise to max, and reserved is kept free for it.
type account struct{ reserved, max, used int64 }

// ledger divides an amount among the classes. It answers floods on one listener: those on the others still find their reserve.
type ledger struct {
	total    int64
	accounts [classes]account
}

// committed returns what is used or reserved.
func (l *ledger) committed() int64 {
	var sum int64
	for _, a := range l.accounts {
		sum += max(a.used, a.reserved)
	}
	return sum
}

// take adds n to what a class uses, and reports whether that fits.
func (l *ledger) take(c Class, n int64) bool {
	a := &l.accounts[c]
	if a.used+n > a.max {
		return false
	}
	a.used += n
	if a.used > a.reserved && l.committed() > l.total {
		a.used -= n
		return false
	}
	return true
}

// takeLarge is take for a request that is not small: it leaves a part of the maximum to small ones. It answers floods of the largest bodies, which otherwise
// take whatever becomes free before an ordinary request does.
func (l *ledger) takeLarge(c Class, n int64) bool {
	if a := l.accounts[c]; (a.used+n)*100 > a.max*largeShare {
		return false
	}
	return l.take(c, n)
}

// give returns n that a class has taken.
func (l *ledger) give(c Class, n int64) { l.accounts[c].used -= n }

// pressed reports whether a class has less than the given percentage of its maximum left.
func (l *ledger) pressed(c Class, percent int64) bool {
	a := l.accounts[c]
	left := min(a.max-a.used, l.total-l.committed()+max(a.reserved-a.used, 0))
	return left*100 < a.max*percent
}
