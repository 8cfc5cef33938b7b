package oriole_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// drawAssignment draws a random valid assignment.
func drawAssignment(t *rapid.T, seq uint64) oriole.Assignment {
	cuts := rapid.SliceOfNDistinct(rapid.IntRange(1, int(oriole.MaxShardKey)), 0, 6, rapid.ID).Draw(t, "cuts")
	a := oriole.Assignment{Service: "s", Term: 1, Seq: seq, Fence: oriole.Fence(seq)}
	first := 0
	for first <= int(oriole.MaxShardKey) {
		last := int(oriole.MaxShardKey)
		for _, cut := range cuts {
			if cut > first && cut-1 < last {
				last = cut - 1
			}
		}
		a.Ranges = append(a.Ranges, oriole.Range{
			First: oriole.ShardKey(first), Last: oriole.ShardKey(last),
			Owner: oriole.Incarnation{ID: oriole.ServerID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner")), StartedAt: time.UnixMilli(1)},
			Fence: oriole.Fence(rapid.Uint64Range(0, seq).Draw(t, "fence")),
		})
		first = last + 1
	}
	return a
}

// TestPatchedEqualsNext checks that the result of applying a patch has the same
// owner and fencing token for each key as the assignment that the patch was
// made from.
func TestPatchedEqualsNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawAssignment(t, 5), drawAssignment(t, 6)
		next.Term += rapid.Uint64Range(0, 1).Draw(t, "terms")
		next.Leader = "another"
		patched, ok := old.Patched(old.Diff(&next))
		if !ok || patched.Seq != next.Seq || patched.Term != next.Term || patched.Leader != next.Leader {
			t.Fatalf("patch does not apply, or results in another term, seq or leader")
		}
		for i := range 65536 / 97 {
			key := oriole.ShardKey(i * 97)
			got, want := patched.Find(key), next.Find(key)
			if got.Owner != want.Owner || got.Fence != want.Fence {
				t.Fatalf("key %d: got %v, want %v", key, got, want)
			}
		}
	})
}

// TestPatchOfNewTermHasNoRanges checks that the patch of a new term has no
// ranges if the new leader has changed nothing but the fencing tokens.
func TestPatchOfNewTermHasNoRanges(t *testing.T) {
	is := is.New(t)
	old := oriole.Assignment{Service: "s", Term: 2, Seq: 40, Fence: 9, Ranges: []oriole.Range{
		{Last: 99, Owner: oriole.Incarnation{ID: "a"}, Fence: 7}, {First: 100, Last: oriole.MaxShardKey, Owner: oriole.Incarnation{ID: "b"}, Fence: 9},
	}}
	next := old.Clone()
	next.Term, next.Seq, next.Fence, next.Leader = 3, 1, 10, "vm.2"
	for i := range next.Ranges {
		next.Ranges[i].Fence = next.Fence
	}
	patch := old.Diff(&next)
	is.Equal(len(patch.Ranges), 0)
	patched, ok := old.Patched(patch)
	is.True(ok)
	is.Equal(patched, next)
}

// TestPatchLeavesNoPriorLeases guards against prior owners whose leases a later leader
// takes for expired, although they have become owners again since.
func TestPatchLeavesNoPriorLeases(t *testing.T) {
	is := is.New(t)
	owner := oriole.Incarnation{ID: "a"}
	a := oriole.Assignment{
		Service: "s", Term: 1, Seq: 1, Fence: 1, Ranges: []oriole.Range{{Last: oriole.MaxShardKey, Owner: owner, Fence: 1}},
		PriorLeases: []oriole.PriorLease{{Owner: oriole.Incarnation{ID: "b"}, Remaining: time.Second}},
	}
	next := a.Clone()
	next.Seq++
	got, ok := a.Patched(a.Diff(&next))
	is.True(ok)
	is.Equal(len(got.PriorLeases), 0)
}

func TestPatchOfAnotherBaseDoesNotApply(t *testing.T) {
	is := is.New(t)
	a := oriole.Assignment{Service: "s", Term: 2, Seq: 4, Ranges: []oriole.Range{{Last: oriole.MaxShardKey}}}
	for _, p := range []oriole.AssignmentPatch{
		{Service: "s", Term: 2, BaseTerm: 2, BaseSeq: 3, Seq: 5},
		{Service: "s", Term: 3, BaseTerm: 3, BaseSeq: 4, Seq: 5},
		{Service: "s", Term: 4, BaseTerm: 3, BaseSeq: 4, Seq: 5},
	} {
		_, ok := a.Patched(p)
		is.True(!ok)
	}
	var none *oriole.Assignment
	_, ok := none.Patched(oriole.AssignmentPatch{})
	is.True(!ok)
}

func TestGatewayIDs(t *testing.T) {
	is := is.New(t)
	old := oriole.NewGatewayID("edge-1.a", time.Unix(10, 0))
	next := oriole.NewGatewayID("edge-1.a", time.Unix(11, 0))
	other := oriole.NewGatewayID("edge-2", time.Unix(12, 0))
	is.Equal(old.VM(), "edge-1.a")
	is.True(next.Supersedes(old))
	is.True(!old.Supersedes(next))
	is.True(!other.Supersedes(old))
	is.True(!oriole.GatewayID("odd").Supersedes("odd"))
}

// manyRanges returns an assignment of n ranges.
func manyRanges(n int, seq uint64) oriole.Assignment {
	a := oriole.Assignment{Service: "s", Term: 1, Seq: seq, Fence: oriole.Fence(seq)}
	keys := int(oriole.MaxShardKey) + 1
	for i := range n {
		a.Ranges = append(a.Ranges, oriole.Range{
			First: oriole.ShardKey(keys * i / n), Last: oriole.ShardKey(keys*(i+1)/n - 1),
			Owner: oriole.Incarnation{ID: "a"}, Fence: oriole.Fence(seq),
		})
	}
	return a
}

// TestPatchOfManyRangesIsAppliedAtOnce guards against gateways that stop for the time
// in which they copy all ranges once for each range that has changed.
func TestPatchOfManyRangesIsAppliedAtOnce(t *testing.T) {
	old, next := manyRanges(1500, 1), manyRanges(1500, 2)
	patch := old.Diff(&next)
	allocs := testing.AllocsPerRun(10, func() {
		if _, ok := old.Patched(patch); !ok {
			t.Fatal("patch does not apply")
		}
	})
	if allocs > 10 {
		t.Errorf("%v allocations for a patch of %d ranges, want 10 at most", allocs, len(patch.Ranges))
	}
}

func BenchmarkPatched(b *testing.B) {
	old, next := manyRanges(1500, 1), manyRanges(1500, 2)
	patch := old.Diff(&next)
	for b.Loop() {
		if _, ok := old.Patched(patch); !ok {
			b.Fatal("patch does not apply")
		}
	}
}
