// Package oriolepick holds the ways to choose a server of an undivided
// service.
package oriolepick

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// ErrUnknown is returned by New for a name that no picker has.
var ErrUnknown = errors.New("no such way to pick: want random, round-robin, least, power-of-two or expected")

// New returns the picker with the name as settings give it; rng is its only
// source of chance. A picker is not safe for concurrent use.
func New(name string, rng *rand.Rand) (oriole.Picker, error) {
	switch name {
	case "random":
		return random{rng}, nil
	case "round-robin":
		return &roundRobin{}, nil
	case "least":
		return least{rng}, nil
	case "power-of-two":
		return powerOfTwo{rng}, nil
	case "expected":
		return expected{rng}, nil
	}
	return nil, errors.Wrap(ErrUnknown, name)
}

type random struct{ rng *rand.Rand }

// Pick implements oriole.Picker.
func (p random) Pick(loads []oriole.Load) int {
	start := p.rng.IntN(len(loads))
	return firstUsable(loads, start)
}

type roundRobin struct{ next int }

// Pick implements oriole.Picker.
func (p *roundRobin) Pick(loads []oriole.Load) int {
	picked := firstUsable(loads, p.next%len(loads))
	p.next = picked + 1
	return picked
}

func firstUsable(loads []oriole.Load, start int) int {
	for i := range loads {
		n := (start + i) % len(loads)
		if loads[n].Usable {
			return n
		}
	}
	return oriole.NoServer
}

type least struct{ rng *rand.Rand }

// Pick implements oriole.Picker.
func (p least) Pick(loads []oriole.Load) int {
	return lowest(loads, p.rng, func(l oriole.Load) float64 { return float64(l.Outstanding) })
}

type powerOfTwo struct{ rng *rand.Rand }

// Pick implements oriole.Picker.
func (p powerOfTwo) Pick(loads []oriole.Load) int {
	a := firstUsable(loads, p.rng.IntN(len(loads)))
	b := firstUsable(loads, p.rng.IntN(len(loads)))
	if a == oriole.NoServer || loads[b].Outstanding < loads[a].Outstanding {
		return b
	}
	return a
}

// expected picks the server where the request is expected to end first, by
// the keeper's own knowledge of its queue, its limit and its recent run times.
type expected struct{ rng *rand.Rand }

// unknownLatency stands for the run time of a server that has not answered
// yet, so that it is tried but not flooded.
const unknownLatency = time.Millisecond

// Pick implements oriole.Picker.
func (p expected) Pick(loads []oriole.Load) int {
	return lowest(loads, p.rng, func(l oriole.Load) float64 {
		latency := max(l.Latency, unknownLatency)
		limit := max(l.Limit, 1)
		rounds := float64(l.Outstanding/limit + 1)
		return rounds*float64(latency) + float64(l.Outstanding)
	})
}

// lowest returns the usable server with the lowest cost, by chance on a tie.
func lowest(loads []oriole.Load, rng *rand.Rand, cost func(oriole.Load) float64) int {
	best := oriole.NoServer
	var bestCost float64
	ties := 0
	for i, l := range loads {
		if !l.Usable {
			continue
		}
		c := cost(l)
		switch {
		case best == oriole.NoServer || c < bestCost:
			best, bestCost, ties = i, c, 1
		case c == bestCost:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
