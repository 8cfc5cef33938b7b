package orioleplacement_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
)

func members(n int) []oriole.Member {
	var gateways []oriole.Member
	for i := range n {
		gateways = append(gateways, oriole.Member{ID: oriole.GatewayID(fmt.Sprintf("vm%d.1", i)), Zone: oriole.ZoneName(fmt.Sprintf("z%d", i%3))})
	}
	return gateways
}

func TestPoolZoneRanksFirst(t *testing.T) {
	is := is.New(t)
	for i := range 50 {
		pool := oriole.PoolID{Service: "s", Zone: "z1", Server: oriole.ServerID(fmt.Sprint(i))}
		ranked := orioleplacement.RankDispatchers(pool, members(9))
		is.Equal(len(ranked), 9)
		for _, id := range ranked[:3] {
			is.True(id == "vm1.1" || id == "vm4.1" || id == "vm7.1")
		}
	}
}

func TestGatewayLossMovesOnlyItsPools(t *testing.T) {
	is := is.New(t)
	all := members(9)
	for i := range 50 {
		pool := oriole.PoolID{Service: "s", Zone: "z1", Server: oriole.ServerID(fmt.Sprint(i))}
		before := orioleplacement.RankDispatchers(pool, all)
		after := orioleplacement.RankDispatchers(pool, append(all[:4:4], all[5:]...))
		if before[0] == all[4].ID {
			is.Equal(after[0], before[1])
		} else {
			is.Equal(after[0], before[0])
		}
	}
}

func ExamplePoolOf() {
	u := oriole.Upstream{ID: "i-1", Service: "stall-board", Zone: "granton"}
	fmt.Println(orioleplacement.PoolOf(u, true), orioleplacement.PoolOf(u, false))
	// Output: stall-board/granton/i-1 stall-board/granton/
}

// TestLeadersPreferLargeVMs checks that a small VM leads only when no larger
// one is left.
func TestLeadersPreferLargeVMs(t *testing.T) {
	is := is.New(t)
	gateways := members(9)
	for i := range gateways {
		gateways[i].Weight = 0.16
	}
	gateways[2].Weight, gateways[7].Weight = 0.8, 0.8
	for _, service := range []oriole.ServiceName{"a", "b", "c", "d"} {
		leaders := orioleplacement.RankLeaders(service, gateways)
		is.True(leaders[0] == gateways[2].ID || leaders[0] == gateways[7].ID)
		is.True(leaders[1] == gateways[2].ID || leaders[1] == gateways[7].ID)
	}
}

// TestPoolsFollowWeights checks that gateways get pools in proportion to their
// weights.
func TestPoolsFollowWeights(t *testing.T) {
	is := is.New(t)
	gateways := members(3)
	for i := range gateways {
		gateways[i].Zone, gateways[i].Weight = "z", 1
	}
	gateways[0].Weight = 4
	const pools = 3000
	won := 0
	for i := range pools {
		pool := oriole.PoolID{Service: "s", Zone: "z", Server: oriole.ServerID(fmt.Sprint(i))}
		if orioleplacement.RankDispatchers(pool, gateways)[0] == gateways[0].ID {
			won++
		}
	}
	is.True(won > pools*4/6*9/10 && won < pools*4/6*11/10)
}

func TestCacheFollowsMembers(t *testing.T) {
	is := is.New(t)
	var cache orioleplacement.RankingCache
	pool := oriole.PoolID{Service: "s", Zone: "z1"}
	all := members(9)
	is.Equal(cache.Dispatchers(pool, all), orioleplacement.RankDispatchers(pool, all))
	is.Equal(cache.Dispatchers(pool, all), orioleplacement.RankDispatchers(pool, all)) // cached
	fewer := all[:5:5]
	is.Equal(cache.Dispatchers(pool, fewer), orioleplacement.RankDispatchers(pool, fewer))
}
