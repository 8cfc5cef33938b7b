package oriolespread_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolespread"
)

func TestSpread(t *testing.T) {
	tests := []struct {
		name   string
		level  bool
		owner  []int
		usable []bool
		want   []int
	}{
		{"first", false, []int{-1, -1, -1, -1}, []bool{true, true}, []int{0, 1, 0, 1}},
		{"loss moves only the lost", false, []int{0, 1, 2, 0, 1, 2}, []bool{true, false, true}, []int{0, 0, 2, 0, 2, 2}},
		{"none usable", false, []int{0, 1}, []bool{false, false}, []int{-1, -1}},
		{"return without level", false, []int{0, 0, 0, 0}, []bool{true, true}, []int{0, 0, 0, 0}},
		{"return with level", true, []int{0, 0, 0, 0}, []bool{true, true}, []int{1, 1, 0, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			spreader := oriolespread.Even{Level: test.level}
			got := spreader.Spread(oriole.Table{Owner: test.owner}, test.usable)
			is.Equal(got.Owner, test.want)
		})
	}
}

func TestSpreadMovesOnlyWhatMust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 8).Draw(t, "servers")
		old := oriole.Table{Owner: rapid.SliceOfN(rapid.IntRange(-1, servers-1), 1, 64).Draw(t, "owner")}
		usable := rapid.SliceOfN(rapid.Bool(), servers, servers).Draw(t, "usable")
		next := oriolespread.Even{}.Spread(old, usable)
		for i, owner := range old.Owner {
			kept := owner >= 0 && usable[owner]
			if kept && next.Owner[i] != owner {
				t.Fatalf("slice %d moved from usable server %d to %d", i, owner, next.Owner[i])
			}
			if next.Owner[i] >= 0 && !usable[next.Owner[i]] {
				t.Fatalf("slice %d went to unusable server %d", i, next.Owner[i])
			}
		}
	})
}
