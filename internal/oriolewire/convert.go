package oriolewire

import (
	"net/http"
	"net/netip"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// ErrMalformed is returned for a frame whose values can't be right.
var ErrMalformed = errors.New("frame is malformed")

// FromRequest returns the frame part that forwards r; now is the time to count
// the deadline from.
func FromRequest(number uint64, r oriole.Request, now time.Time) *Ask {
	return &Ask{
		Number:     number,
		Id:         r.ID,
		Group:      string(r.Group),
		Service:    string(r.Service),
		Key:        r.Key,
		Slice:      int(r.Slice),
		Method:     r.Method,
		Target:     r.Target,
		Header:     fromHeader(r.Header),
		Body:       r.Body,
		Idempotent: r.Idempotent,
		Token:      r.Token,
		Left:       int64(r.Deadline.Sub(now)),
		Relayed:    r.Relayed,
	}
}

// ToRequest returns the request of an Ask that was received at now.
func (a *Ask) ToRequest(now time.Time) (r oriole.Request, err error) {
	if a.Id == "" || a.Group == "" || a.Slice < 0 || a.Left < 0 {
		return r, errors.Wrap(ErrMalformed, "ask")
	}
	return oriole.Request{
		ID:         a.Id,
		Service:    oriole.ServiceName(a.Service),
		Key:        a.Key,
		Group:      oriole.GroupID(a.Group),
		Slice:      oriole.Slice(a.Slice),
		Method:     a.Method,
		Target:     a.Target,
		Header:     toHeader(a.Header),
		Body:       a.Body,
		Idempotent: a.Idempotent,
		Token:      a.Token,
		Deadline:   now.Add(time.Duration(a.Left)),
		Relayed:    a.Relayed,
	}, nil
}

// FromAnswer returns the frame part that answers the Ask with the number.
func FromAnswer(number uint64, id string, a oriole.Answer) *Reply {
	return &Reply{
		Number:  number,
		Id:      id,
		Outcome: int(a.Outcome),
		Reason:  int(a.Reason),
		Status:  a.Status,
		Header:  fromHeader(a.Header),
		Body:    a.Body,
		Server:  string(a.Server),
	}
}

// ToAnswer returns the answer that the frame part carries.
func (p *Reply) ToAnswer() (a oriole.Answer, err error) {
	outcome := oriole.Outcome(p.Outcome)
	if outcome < oriole.OutcomeUnknown || outcome > oriole.OutcomeNotRun {
		return a, errors.Wrap(ErrMalformed, "reply outcome")
	}
	if outcome == oriole.OutcomeAnswered && (p.Status < 100 || p.Status > 999) {
		return a, errors.Wrap(ErrMalformed, "reply status")
	}
	return oriole.Answer{
		Outcome: outcome,
		Reason:  oriole.Reason(p.Reason),
		Status:  p.Status,
		Header:  toHeader(p.Header),
		Body:    p.Body,
		Server:  oriole.ServerID(p.Server),
	}, nil
}

func fromHeader(h http.Header) []Field {
	fields := make([]Field, 0, len(h))
	for name, values := range h {
		for _, value := range values {
			fields = append(fields, Field{Name: name, Value: value})
		}
	}
	sort.SliceStable(fields, func(i, j int) bool { return fields[i].Name < fields[j].Name })
	return fields
}

func toHeader(fields []Field) http.Header {
	h := make(http.Header, len(fields))
	for _, field := range fields {
		h.Add(field.Name, field.Value)
	}
	return h
}

func fromTable(t oriole.Table) Table { return Table{Seq: t.Seq, Owners: t.Owner} }

func (t Table) toTable() (oriole.Table, error) {
	for _, owner := range t.Owners {
		if owner < oriole.NoServer || owner >= maxElements {
			return oriole.Table{}, errors.Wrap(ErrMalformed, "table owner")
		}
	}
	return oriole.Table{Seq: t.Seq, Owner: t.Owners}, nil
}

// FromBeat returns the frame part of a heartbeat.
func FromBeat(b oriole.Beat) *Beat {
	return &Beat{
		Group:   string(b.Group),
		Term:    uint64(b.Term),
		Number:  b.Number,
		Version: uint64(b.Version),
		Round:   b.Round,
		Alone:   b.Alone,
		Echo:    b.Echo,
		Left:    int64(b.Left),
		Table:   fromTable(b.Table),
	}
}

// ToBeat returns the heartbeat that the frame part carries.
func (b *Beat) ToBeat() (beat oriole.Beat, err error) {
	table, err := b.Table.toTable()
	if err != nil {
		return beat, err
	}
	if b.Group == "" || b.Term == 0 || b.Number == 0 || b.Left < 0 {
		return beat, errors.Wrap(ErrMalformed, "beat")
	}
	return oriole.Beat{
		Group:   oriole.GroupID(b.Group),
		Term:    oriole.Term(b.Term),
		Number:  b.Number,
		Version: oriole.Version(b.Version),
		Round:   b.Round,
		Alone:   b.Alone,
		Echo:    b.Echo,
		Left:    time.Duration(b.Left),
		Table:   table,
	}, nil
}

// FromAck returns the frame part of an acknowledgement.
func FromAck(a oriole.BeatAck) *Ack {
	return &Ack{
		Group:   string(a.Group),
		Term:    uint64(a.Term),
		Number:  a.Number,
		Alone:   a.Alone,
		Seq:     a.Seq,
		Refused: a.Refused,
	}
}

// ToAck returns the acknowledgement that the frame part carries.
func (a *Ack) ToAck() (ack oriole.BeatAck, err error) {
	if a.Group == "" || a.Number == 0 {
		return ack, errors.Wrap(ErrMalformed, "ack")
	}
	return oriole.BeatAck{
		Group:   oriole.GroupID(a.Group),
		Term:    oriole.Term(a.Term),
		Number:  a.Number,
		Alone:   a.Alone,
		Seq:     a.Seq,
		Refused: a.Refused,
	}, nil
}

// FromResign returns the frame part of a resignation.
func FromResign(r oriole.Resign) *Resign {
	return &Resign{Group: string(r.Group), Term: uint64(r.Term)}
}

// ToResign returns the resignation that the frame part carries.
func (r *Resign) ToResign() (resign oriole.Resign, err error) {
	if r.Group == "" || r.Term == 0 {
		return resign, errors.Wrap(ErrMalformed, "resign")
	}
	return oriole.Resign{Group: oriole.GroupID(r.Group), Term: oriole.Term(r.Term)}, nil
}

// FromView returns the frame part of a view.
func FromView(v oriole.View) *View {
	return &View{
		Group:  string(v.Group),
		Term:   uint64(v.Term),
		Keeper: string(v.Keeper),
		Deputy: string(v.Deputy),
	}
}

// ToView returns the view that the frame part carries.
func (v *View) ToView() (view oriole.View, err error) {
	if v.Group == "" || v.Term == 0 || v.Keeper == "" {
		return view, errors.Wrap(ErrMalformed, "view")
	}
	return oriole.View{
		Group:  oriole.GroupID(v.Group),
		Term:   oriole.Term(v.Term),
		Keeper: oriole.GatewayID(v.Keeper),
		Deputy: oriole.GatewayID(v.Deputy),
	}, nil
}

// FromRecord returns the wire form of a stored record.
func FromRecord(r oriole.Record) Record {
	return Record{
		Group:  string(r.Group),
		Term:   uint64(r.Term),
		Keeper: string(r.Keeper),
		Deputy: string(r.Deputy),
		Round:  r.Round,
		Doubt:  r.Doubt,
		Down:   r.Down,
		Table:  fromTable(r.Table),
	}
}

// ToRecord returns the record that its wire form carries.
func (r Record) ToRecord() (rec oriole.Record, err error) {
	table, err := r.Table.toTable()
	if err != nil {
		return rec, err
	}
	if r.Group == "" || r.Term == 0 || !oriole.Term(r.Term).Stored() || r.Keeper == "" {
		return rec, errors.Wrap(ErrMalformed, "record")
	}
	return oriole.Record{
		Group:  oriole.GroupID(r.Group),
		Term:   oriole.Term(r.Term),
		Keeper: oriole.GatewayID(r.Keeper),
		Deputy: oriole.GatewayID(r.Deputy),
		Round:  r.Round,
		Doubt:  r.Doubt,
		Down:   r.Down,
		Table:  table,
	}, nil
}

// FromMember returns the opening frame part of a gateway.
func FromMember(m oriole.Member) *Hello {
	return &Hello{Id: string(m.ID), Zone: string(m.Zone), Callers: m.Callers.String(), Peers: m.Peers.String()}
}

// ToMember returns the gateway that the frame part names.
func (h *Hello) ToMember() (m oriole.Member, err error) {
	callers, err := netip.ParseAddrPort(h.Callers)
	if err != nil {
		return m, errors.Wrap(ErrMalformed, "hello callers")
	}
	peers, err := netip.ParseAddrPort(h.Peers)
	if err != nil {
		return m, errors.Wrap(ErrMalformed, "hello peers")
	}
	if h.Id == "" {
		return m, errors.Wrap(ErrMalformed, "hello id")
	}
	return oriole.Member{ID: oriole.GatewayID(h.Id), Zone: oriole.ZoneName(h.Zone), Callers: callers, Peers: peers}, nil
}

// FromGrant returns the wire form of a grant.
func FromGrant(g oriole.Grant) Grant {
	return Grant{
		Group:       string(g.Group),
		Term:        uint64(g.Term),
		Number:      g.Number,
		Seq:         g.Seq,
		Owned:       g.Owned,
		Mark:        int64(g.Mark),
		Span:        int64(g.Span),
		Incarnation: g.Incarnation,
	}
}

// ToGrant returns the grant that its wire form carries.
func (g Grant) ToGrant() (grant oriole.Grant, err error) {
	if g.Term == 0 || g.Number == 0 || g.Mark < 0 || g.Span < 0 {
		return grant, errors.Wrap(ErrMalformed, "grant")
	}
	return oriole.Grant{
		Group:       oriole.GroupID(g.Group),
		Term:        oriole.Term(g.Term),
		Number:      g.Number,
		Seq:         g.Seq,
		Owned:       g.Owned,
		Mark:        time.Duration(g.Mark),
		Span:        time.Duration(g.Span),
		Incarnation: g.Incarnation,
	}, nil
}

// FromGrantReply returns the wire form of a server's answer to a grant.
func FromGrantReply(r oriole.GrantReply) Granted {
	return Granted{
		Accepted:    r.Accepted,
		Mark:        int64(r.Mark),
		Incarnation: r.Incarnation,
		Term:        uint64(r.Term),
		Seq:         r.Seq,
		Owned:       r.Owned,
		Held:        r.Held,
		Draining:    r.Draining,
	}
}

// ToGrantReply returns the answer to a grant that the wire form carries.
func (r Granted) ToGrantReply() oriole.GrantReply {
	return oriole.GrantReply{
		Accepted:    r.Accepted,
		Mark:        time.Duration(r.Mark),
		Incarnation: r.Incarnation,
		Term:        oriole.Term(r.Term),
		Seq:         r.Seq,
		Owned:       r.Owned,
		Held:        r.Held,
		Draining:    r.Draining,
	}
}

// FromListed returns the wire form of an entry of the list of VMs.
func FromListed(m oriole.Member) Member {
	return Member{
		Id:      string(m.ID),
		Zone:    string(m.Zone),
		Callers: m.Callers.String(),
		Peers:   m.Peers.String(),
		Leaving: m.Leaving,
	}
}

// ToListed returns the entry of the list of VMs that the wire form carries.
func (m Member) ToListed() (oriole.Member, error) {
	hello := Hello{Id: m.Id, Zone: m.Zone, Callers: m.Callers, Peers: m.Peers}
	member, err := hello.ToMember()
	member.Leaving = m.Leaving
	return member, err
}
