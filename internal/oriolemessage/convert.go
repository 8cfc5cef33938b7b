package oriolemessage

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// ErrMalformed is returned for a message with missing or invalid values.
var ErrMalformed = errors.New("message is malformed")

// noShardKey encodes that a request has no shard key.
const noShardKey = -1

// FromSentAt returns the time at which a frame was made as [Frame].SentAt states it.
func FromSentAt(at time.Time) *int64 {
	micros := at.UnixMicro()
	return &micros
}

// FromRequest returns the message that forwards r, with its number on the link.
// Deadlines are encoded as durations from now, so that the gateways' clocks need not
// agree.
func FromRequest(number uint64, r oriole.Request, now time.Time) *Request {
	forwarded := &Request{
		Number:            number,
		Id:                r.ID,
		Service:           string(r.Pool.Service),
		Zone:              string(r.Pool.Zone),
		Server:            string(r.Pool.Server),
		Host:              r.Host,
		Method:            r.Method,
		Target:            r.Target,
		Header:            fromHeader(r.Header),
		Body:              r.Body,
		Idempotent:        r.Idempotent,
		IdempotencyKey:    r.IdempotencyKey,
		Priority:          r.Priority,
		ShardKey:          noShardKey,
		UntilDeadline:     r.Deadline.Sub(now).Microseconds(),
		UntilSoftDeadline: r.SoftDeadline.Sub(now).Microseconds(),
	}
	if r.HasShardKey {
		forwarded.ShardKey = int(r.ShardKey)
	}
	if r.Keyed {
		admittedBy, workspace, key := uint64(r.AdmittedBy), string(r.Workspace), r.Key[:]
		forwarded.AdmittedBy, forwarded.Workspace, forwarded.Key = &admittedBy, &workspace, &key
	}
	return forwarded
}

// ToRequest returns the forwarded request. Its deadlines are counted from sentAt, the
// time at which the message was made, by this gateway's clock.
func (m *Request) ToRequest(sentAt time.Time) (r oriole.Request, err error) {
	if m.Service == "" || m.Method == "" || m.ShardKey < noShardKey || m.ShardKey > int(oriole.MaxShardKey) {
		return r, errors.Wrap(ErrMalformed, "request: invalid service, method or shard key")
	}
	r = oriole.Request{
		ID:             m.Id,
		Service:        oriole.ServiceName(m.Service),
		Host:           m.Host,
		Method:         m.Method,
		Target:         m.Target,
		Header:         toHeader(m.Header),
		Body:           m.Body,
		Idempotent:     m.Idempotent,
		IdempotencyKey: m.IdempotencyKey,
		Priority:       m.Priority,
		Deadline:       sentAt.Add(time.Duration(m.UntilDeadline) * time.Microsecond),
		SoftDeadline:   sentAt.Add(time.Duration(m.UntilSoftDeadline) * time.Microsecond),
		Pool: oriole.PoolID{
			Service: oriole.ServiceName(m.Service),
			Zone:    oriole.ZoneName(m.Zone),
			Server:  oriole.ServerID(m.Server),
		},
	}
	if m.ShardKey != noShardKey {
		r.ShardKey, r.HasShardKey = oriole.ShardKey(m.ShardKey), true
	}
	if m.AdmittedBy != nil {
		if m.Workspace == nil || m.Key == nil || len(*m.Key) != len(r.Key) {
			return r, errors.Wrap(ErrMalformed, "request: invalid workspace or key")
		}
		r.Keyed, r.AdmittedBy, r.Workspace, r.Key = true, oriole.ConfigVersion(*m.AdmittedBy), oriole.WorkspaceName(*m.Workspace), oriole.KeyDigest(*m.Key)
	}
	return r, nil
}

// FromResponse returns the message with the response to the forwarded request that
// has the number and the request ID.
func FromResponse(number uint64, id string, resp oriole.Response) *Response {
	return &Response{
		Number:       number,
		Id:           id,
		Outcome:      int(resp.Outcome),
		Reason:       int(resp.Reason),
		Status:       resp.Status,
		Header:       fromHeader(resp.Header),
		Body:         resp.Body,
		Server:       string(resp.Server),
		RetryAfter:   resp.RetryAfter.Microseconds(),
		ExpectedWait: resp.ExpectedWait.Microseconds(),
	}
}

// ToResponse returns the response that the message holds.
func (r *Response) ToResponse() (resp oriole.Response, err error) {
	outcome := oriole.Outcome(r.Outcome)
	if outcome < oriole.OutcomeUnknown || outcome > oriole.OutcomeNotRun {
		return resp, errors.Wrap(ErrMalformed, "response: invalid outcome")
	}
	if answered := outcome == oriole.OutcomeAnswered; answered && !oriole.FinalStatus(r.Status) || !answered && r.Status != 0 {
		return resp, errors.Wrap(ErrMalformed, "response: invalid status")
	}
	return oriole.Response{
		Outcome:      outcome,
		Reason:       oriole.Reason(r.Reason),
		Status:       r.Status,
		Header:       toHeader(r.Header),
		Body:         r.Body,
		Server:       oriole.ServerID(r.Server),
		RetryAfter:   time.Duration(r.RetryAfter) * time.Microsecond,
		ExpectedWait: time.Duration(r.ExpectedWait) * time.Microsecond,
	}, nil
}

func fromHeader(header http.Header) []Field {
	fields := make([]Field, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, Field{Name: name, Value: value})
		}
	}
	return fields
}

func toHeader(fields []Field) http.Header {
	header := make(http.Header, len(fields))
	for _, f := range fields {
		header[f.Name] = append(header[f.Name], f.Value)
	}
	return header
}

// FromMember returns the message that identifies a gateway on a new link.
func FromMember(m oriole.Member) *Hello {
	return &Hello{Id: string(m.ID), Vm: m.VM, Zone: string(m.Zone), PeerAddr: m.PeerAddr.String(), Weight: m.Weight, Draining: m.Draining}
}

// ToMember returns the gateway that opened the link.
func (h *Hello) ToMember() (m oriole.Member, err error) {
	m, err = toMember(h.Id, h.Vm, h.Zone, h.PeerAddr, h.Weight, nil)
	m.Draining = h.Draining
	return m, err
}

// FromGateway returns the entry that a gateway has in the store.
func FromGateway(m oriole.Member) Gateway {
	return Gateway{Id: string(m.ID), Vm: m.VM, Zone: string(m.Zone), PeerAddr: m.PeerAddr.String(), Weight: m.Weight, Link: fromLink(m.Link)}
}

// ToMember returns the gateway that the entry describes.
func (g Gateway) ToMember() (m oriole.Member, err error) {
	return toMember(g.Id, g.Vm, g.Zone, g.PeerAddr, g.Weight, g.Link)
}

// fromLink leaves an unknown bandwidth out: earlier builds reject the field.
func fromLink(link float64) *float64 {
	if link == 0 {
		return nil
	}
	return &link
}

func toMember(id, vm, zone, peerAddr string, weight float64, link *float64) (m oriole.Member, err error) {
	addr, err := netip.ParseAddrPort(peerAddr)
	if err != nil || id == "" || vm == "" || !(weight > 0) {
		return m, errors.Wrap(ErrMalformed, "gateway: invalid ID, VM, peer address or weight")
	}
	m = oriole.Member{ID: oriole.GatewayID(id), VM: vm, Zone: oriole.ZoneName(zone), PeerAddr: addr, Weight: weight}
	if link != nil {
		m.Link = max(*link, 0)
	}
	return m, nil
}

// FromAssignment converts an assignment for the store or for other gateways.
func FromAssignment(a oriole.Assignment) *Assignment {
	m := &Assignment{
		Service:      string(a.Service),
		Term:         a.Term,
		Leader:       string(a.Leader),
		PriorLeaders: []string{},
		Fence:        uint64(a.Fence),
		Seq:          a.Seq,
		Ranges:       make([]Range, 0, len(a.Ranges)),
	}
	for _, g := range a.PriorLeaders {
		m.PriorLeaders = append(m.PriorLeaders, string(g))
	}
	for _, r := range a.Ranges {
		m.Ranges = append(m.Ranges, fromRange(r))
	}
	for _, r := range a.PendingReleases {
		m.PendingReleases = append(m.PendingReleases, PendingRelease{Server: string(r.Server), First: int(r.First), Last: int(r.Last)})
	}
	for _, l := range a.PriorLeases {
		m.PriorLeases = append(m.PriorLeases, PriorLease{Owner: fromIncarnation(l.Owner), Remaining: fromRemaining(l.Remaining)})
	}
	if a.UnknownRemaining > 0 {
		remaining := fromRemaining(a.UnknownRemaining)
		m.UnknownRemaining = &remaining
	}
	return m
}

// fromRemaining converts the remaining time of a lease. It is rounded up: a lease must not
// be taken for shorter than it is.
func fromRemaining(d time.Duration) int64 { return (d + time.Microsecond - 1).Microseconds() }

// maxPriorLease bounds the time for which a prior owner's lease may run. It is far above
// the leases of any leader, and excludes overflows.
const maxPriorLease = time.Hour

// ToAssignment returns the assignment that the message holds. It fails unless the
// ranges cover every shard key exactly once.
func (m *Assignment) ToAssignment() (a oriole.Assignment, err error) {
	a = oriole.Assignment{
		Service: oriole.ServiceName(m.Service),
		Term:    m.Term,
		Leader:  oriole.GatewayID(m.Leader),
		Fence:   oriole.Fence(m.Fence),
		Seq:     m.Seq,
	}
	for _, g := range m.PriorLeaders {
		a.PriorLeaders = append(a.PriorLeaders, oriole.GatewayID(g))
	}
	for _, r := range m.Ranges {
		converted, err := r.toRange()
		if err != nil {
			return a, err
		}
		a.Ranges = append(a.Ranges, converted)
	}
	for _, r := range m.PendingReleases {
		if !validBounds(r.First, r.Last) {
			return a, errors.Wrap(ErrMalformed, "pending release: invalid bounds")
		}
		a.PendingReleases = append(a.PendingReleases, oriole.PendingRelease{
			Server: oriole.ServerID(r.Server), First: oriole.ShardKey(r.First), Last: oriole.ShardKey(r.Last),
		})
	}
	for _, l := range m.PriorLeases {
		if l.Remaining < 0 || l.Remaining > maxPriorLease.Microseconds() {
			return a, errors.Wrap(ErrMalformed, "lease of a prior owner: invalid time")
		}
		a.PriorLeases = append(a.PriorLeases, oriole.PriorLease{Owner: toIncarnation(l.Owner), Remaining: fromMicros(l.Remaining)})
	}
	if m.UnknownRemaining != nil {
		if *m.UnknownRemaining < 0 || *m.UnknownRemaining > maxPriorLease.Microseconds() {
			return a, errors.Wrap(ErrMalformed, "leases of unknown leaders: invalid time")
		}
		a.UnknownRemaining = fromMicros(*m.UnknownRemaining)
	}
	if a.Service == "" || !a.Valid() {
		return a, errors.Wrap(ErrMalformed, "assignment: no service, or invalid ranges")
	}
	return a, nil
}

func fromRange(r oriole.Range) Range {
	converted := Range{First: int(r.First), Last: int(r.Last), Owner: fromIncarnation(r.Owner), Fence: uint64(r.Fence), PriorOwners: []Incarnation{}}
	for _, owner := range r.PriorOwners {
		converted.PriorOwners = append(converted.PriorOwners, fromIncarnation(owner))
	}
	return converted
}

func validBounds(first, last int) bool {
	return first >= 0 && first <= last && last <= int(oriole.MaxShardKey)
}

func (r Range) toRange() (converted oriole.Range, err error) {
	if !validBounds(r.First, r.Last) {
		return converted, errors.Wrap(ErrMalformed, "range: invalid bounds")
	}
	converted = oriole.Range{
		First: oriole.ShardKey(r.First), Last: oriole.ShardKey(r.Last),
		Owner: toIncarnation(r.Owner), Fence: oriole.Fence(r.Fence),
	}
	for _, owner := range r.PriorOwners {
		converted.PriorOwners = append(converted.PriorOwners, toIncarnation(owner))
	}
	return converted, nil
}

func fromIncarnation(i oriole.Incarnation) Incarnation {
	return Incarnation{Id: string(i.ID), StartedAt: i.StartedAt.UnixMilli()}
}

func toIncarnation(i Incarnation) oriole.Incarnation {
	return oriole.Incarnation{ID: oriole.ServerID(i.Id), StartedAt: time.UnixMilli(i.StartedAt)}
}

// FromGatewayIDs converts gateway IDs to strings.
func FromGatewayIDs(ids []oriole.GatewayID) []string {
	list := make([]string, 0, len(ids))
	for _, id := range ids {
		list = append(list, string(id))
	}
	return list
}

// ToGatewayIDs converts strings to gateway IDs.
func ToGatewayIDs(list []string) []oriole.GatewayID {
	ids := make([]oriole.GatewayID, 0, len(list))
	for _, id := range list {
		ids = append(ids, oriole.GatewayID(id))
	}
	return ids
}

// FromMinRenewTerms converts a map from sharded service to the lowest term in which
// the sender may still renew leases. The result is sorted by service.
func FromMinRenewTerms(minTerms map[oriole.ServiceName]uint64) []MinRenewTerm {
	list := make([]MinRenewTerm, 0, len(minTerms))
	for service, term := range minTerms {
		list = append(list, MinRenewTerm{Service: string(service), Term: term})
	}
	slices.SortFunc(list, func(a, b MinRenewTerm) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return list
}
