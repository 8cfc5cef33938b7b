package oriolemessage

import (
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

func FromPatch(p oriole.AssignmentPatch) *Patch {
	patch := &Patch{
		Service: string(p.Service), Term: p.Term, Leader: string(p.Leader), BaseTerm: p.BaseTerm, BaseSeq: p.BaseSeq, Seq: p.Seq, Fence: uint64(p.Fence),
		Ranges: make([]Range, 0, len(p.Ranges)),
	}
	for _, r := range p.Ranges {
		patch.Ranges = append(patch.Ranges, fromRange(r))
	}
	return patch
}

// ToPatch returns the assignment patch that the message holds. It fails unless the
// ranges are sorted and don't overlap.
func (p *Patch) ToPatch() (patch oriole.AssignmentPatch, err error) {
	patch = oriole.AssignmentPatch{
		Service: oriole.ServiceName(p.Service), Term: p.Term, Leader: oriole.GatewayID(p.Leader), BaseTerm: p.BaseTerm,
		BaseSeq: p.BaseSeq, Seq: p.Seq, Fence: oriole.Fence(p.Fence),
	}
	next := 0
	for _, r := range p.Ranges {
		if r.First < next {
			return patch, errors.Wrap(ErrMalformed, "patch: ranges are not sorted or overlap")
		}
		next = r.Last + 1
		converted, err := r.toRange()
		if err != nil {
			return patch, err
		}
		patch.Ranges = append(patch.Ranges, converted)
	}
	if patch.Service == "" {
		return patch, errors.Wrap(ErrMalformed, "patch: no service")
	}
	return patch, nil
}

// FromLoad returns a load report with the number of requests by bucket of shard keys
// and the mean duration of requests by upstream.
func FromLoad(service oriole.ServiceName, counts map[int]int, durations map[oriole.ServerID]time.Duration) *Load {
	l := &Load{Service: string(service), Buckets: make([]Bucket, 0, len(counts)), RequestDurations: make([]RequestDuration, 0, len(durations))}
	for bucket, n := range counts {
		l.Buckets = append(l.Buckets, Bucket{Index: bucket, Count: n})
	}
	for id, duration := range durations {
		l.RequestDurations = append(l.RequestDurations, RequestDuration{Server: string(id), Duration: duration.Microseconds()})
	}
	return l
}

// ToLoad returns the number of requests by bucket of shard keys and the mean
// duration of requests by upstream.
func (l *Load) ToLoad() (counts map[int]int, durations map[oriole.ServerID]time.Duration) {
	counts = make(map[int]int, len(l.Buckets))
	for _, b := range l.Buckets {
		counts[b.Index] += b.Count
	}
	durations = make(map[oriole.ServerID]time.Duration, len(l.RequestDurations))
	for _, d := range l.RequestDurations {
		durations[oriole.ServerID(d.Server)] = fromMicros(d.Duration)
	}
	return counts, durations
}

// FromSuspect returns a report that the incarnation of an upstream did not accept a
// connection.
func FromSuspect(service oriole.ServiceName, incarnation oriole.Incarnation) *Suspect {
	return &Suspect{Service: string(service), Incarnation: fromIncarnation(incarnation)}
}

// ToSuspect returns the service and the incarnation of the upstream.
func (s *Suspect) ToSuspect() (service oriole.ServiceName, incarnation oriole.Incarnation) {
	return oriole.ServiceName(s.Service), toIncarnation(s.Incarnation)
}

// FromDeparture returns a report that the incarnation of an upstream leaves.
func FromDeparture(incarnation oriole.Incarnation) *Departure {
	return &Departure{Incarnation: fromIncarnation(incarnation)}
}

// ToDeparture returns the incarnation that leaves. It fails if the message names no
// upstream.
func (d *Departure) ToDeparture() (incarnation oriole.Incarnation, err error) {
	if d.Incarnation.Id == "" {
		return incarnation, errors.Wrap(ErrMalformed, "departure: no upstream")
	}
	return toIncarnation(d.Incarnation), nil
}

// FromCrashRecord returns the crash record of a request with the fingerprint that
// was running when the incarnation of an upstream ended.
func FromCrashRecord(fingerprint uint64, incarnation oriole.Incarnation) *CrashRecord {
	return &CrashRecord{Fingerprint: fingerprint, Incarnation: fromIncarnation(incarnation)}
}

// ToCrashRecord returns the fingerprint of the request and the incarnation of the
// upstream.
func (c *CrashRecord) ToCrashRecord() (fingerprint uint64, incarnation oriole.Incarnation) {
	return c.Fingerprint, toIncarnation(c.Incarnation)
}
