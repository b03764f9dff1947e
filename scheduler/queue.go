package scheduler

import (
	"cmp"
	"slices"

	"github.com/snipelift/snipelift/packer"
)

// groupKey identifies interchangeable jobs: if the first of them cannot be placed, none can.
type groupKey struct {
	rank         int
	organisation string
	shape        packer.Shape
}

func keyOf(j *job) groupKey {
	return groupKey{rank: j.rank, organisation: j.Organisation, shape: j.Shape}
}

type group struct {
	key  groupKey
	jobs []*job
}

func (g *group) head() *job { return g.jobs[0] }

// queue holds the waiting jobs by class and then by group, oldest first.
type queue struct {
	groups  map[groupKey]*group
	byRank  [][]*group
	waiting map[classKey]int
	total   int
}

// classKey identifies the waiting jobs that one limit of an organisation applies to.
type classKey struct {
	organisation string
	class        string
}

// byAge orders jobs by submit time, which a requeued job keeps.
func byAge(a, b *job) int {
	if c := a.Submitted.Compare(b.Submitted); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}

func (q *queue) resize(ranks int) {
	if q.groups == nil {
		q.groups = map[groupKey]*group{}
		q.waiting = map[classKey]int{}
	}
	for len(q.byRank) < ranks {
		q.byRank = append(q.byRank, nil)
	}
}

func (q *queue) add(j *job) {
	key := keyOf(j)
	g := q.groups[key]
	if g == nil {
		g = &group{key: key}
		q.groups[key] = g
		q.byRank[key.rank] = append(q.byRank[key.rank], g)
	}
	at, _ := slices.BinarySearchFunc(g.jobs, j, byAge)
	g.jobs = slices.Insert(g.jobs, at, j)
	q.waiting[classKey{j.Organisation, j.Class}]++
	q.total++
}

// remove removes the job and reports whether it was queued.
func (q *queue) remove(j *job) bool {
	key := keyOf(j)
	g := q.groups[key]
	if g == nil {
		return false
	}
	at, found := slices.BinarySearchFunc(g.jobs, j, byAge)
	if !found || g.jobs[at] != j {
		return false
	}
	g.jobs = slices.Delete(g.jobs, at, at+1)
	if len(g.jobs) == 0 {
		q.drop(g)
	}
	q.waiting[classKey{j.Organisation, j.Class}]--
	q.total--
	return true
}

func (q *queue) drop(g *group) {
	delete(q.groups, g.key)
	list := q.byRank[g.key.rank]
	at := slices.Index(list, g)
	q.byRank[g.key.rank] = slices.Delete(list, at, at+1)
}

// ordered returns the groups of a class, sorted by their oldest job.
func (q *queue) ordered(rank int) []*group {
	list := slices.Clone(q.byRank[rank])
	slices.SortFunc(list, func(a, b *group) int { return byAge(a.head(), b.head()) })
	return list
}

// youngestAfter returns the youngest queued job of the last class after rank that has any, or nil.
func (q *queue) youngestAfter(rank int) *job {
	for r := len(q.byRank) - 1; r > rank; r-- {
		var youngest *job
		for _, g := range q.byRank[r] {
			last := g.jobs[len(g.jobs)-1]
			if youngest == nil || byAge(last, youngest) > 0 {
				youngest = last
			}
		}
		if youngest != nil {
			return youngest
		}
	}
	return nil
}
