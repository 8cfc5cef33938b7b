package oriolekeeper_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolekeeper"
)

func members(n int) []oriole.Member {
	var list []oriole.Member
	for i := range n {
		list = append(list, oriole.Member{ID: oriole.GatewayID(fmt.Sprintf("vm%d.1", i)), Zone: oriole.ZoneName(fmt.Sprintf("z%d", i%3))})
	}
	return list
}

func TestKeeperIsInThePoolsZone(t *testing.T) {
	is := is.New(t)
	for i := range 50 {
		pool := oriole.PoolID{Service: "s", Zone: "z1", Server: oriole.ServerID(fmt.Sprint(i))}
		ranked := oriolekeeper.Ranked(pool, members(9))
		is.Equal(len(ranked), 9)
		for _, id := range ranked[:3] {
			is.True(id == "vm1.1" || id == "vm4.1" || id == "vm7.1")
		}
	}
}

func TestLossMovesOnlyOwnPools(t *testing.T) {
	is := is.New(t)
	all := members(9)
	for i := range 50 {
		pool := oriole.PoolID{Service: "s", Zone: "z1", Server: oriole.ServerID(fmt.Sprint(i))}
		before := oriolekeeper.Ranked(pool, all)
		after := oriolekeeper.Ranked(pool, append(all[:4:4], all[5:]...))
		if before[0] == all[4].ID {
			is.Equal(after[0], before[1])
		} else {
			is.Equal(after[0], before[0])
		}
	}
}

func ExamplePoolOf() {
	u := oriole.Upstream{ID: "i-1", Service: "stall-board", Zone: "granton"}
	fmt.Println(oriolekeeper.PoolOf(u, true), oriolekeeper.PoolOf(u, false))
	// Output: stall-board/granton/i-1 stall-board/granton/
}
