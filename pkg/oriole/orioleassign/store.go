package orioleassign

import (
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// ReadDone takes the result of a Read that was started at the given time.
func (m *Machine) ReadDone(now, started time.Time, a oriole.Assignment, version oriole.Version, lag bool, err error) {
	m.reading = false
	switch {
	case err == nil, errors.Is(err, oriole.ErrNotFound):
		m.awaySince = time.Time{}
	case !lag && m.awaySince.IsZero():
		m.awaySince = started
	}
	switch {
	case errors.Is(err, oriole.ErrNotFound):
		if !lag && !m.leading && (!m.known || m.stored.Term == 0) {
			m.learn(oriole.Assignment{Service: m.cfg.Service}, 0, true)
		}
	case err != nil:
		m.readDue = now.Add(readWait)
		m.writeDue = now.Add(writeWait)
		if m.leading {
			m.resign(now)
		}
		return
	default:
		m.readBack(now, started, a, version, lag)
	}
	m.Tick(now)
}

// readBack compares what the store holds with what was believed.
func (m *Machine) readBack(now, started time.Time, a oriole.Assignment, version oriole.Version, lag bool) {
	older := m.known && (a.Term < m.stored.Term || (a.Term == m.stored.Term && a.Seq < m.stored.Seq))
	switch {
	case lag && older:
		return
	case m.leading && a.Term == m.stored.Term && a.Leader == m.cfg.Self:
		m.confirm(now, started)
		if version < m.version || (m.exact && version == m.version) {
			// Nothing new, or older than a write that was answered meanwhile.
			return
		}
		// A write whose answer was lost has taken effect, or had none.
		if version != m.version {
			m.commit(now, a, version)
		}
		m.exact = true
	case !m.leading && a.Leader == m.cfg.Self && !m.leaving && !lag && m.resigned != a.Term:
		// The answer to the write that took the lead was lost, or this gateway
		// has stepped down meanwhile and may have sent the fences.
		m.version, m.exact = version, true
		m.confirm(now, started)
		m.lead(now, a)
		for i := range m.leases {
			m.leases[i].spent = true
		}
	default:
		m.learn(a, version, !lag)
	}
}

// WriteDone takes the result of a Write that was started at the given time.
func (m *Machine) WriteDone(now, started time.Time, a oriole.Assignment, version oriole.Version, err error) {
	m.writing = nil
	if m.leaving {
		return
	}
	switch {
	case err == nil && m.known && a.Term < m.stored.Term:
		return
	case err == nil:
		m.confirm(now, started)
		if m.leading {
			m.commit(now, a, version)
		} else {
			m.version, m.exact = version, true
			m.lead(now, a)
		}
	case errors.Is(err, oriole.ErrBusy):
		m.exact = true
		m.writeDue = now.Add(writeWait)
		// Whether the store refuses every call shows by a read.
		m.read(now, false)
	default:
		// It may have taken effect, or another has written: read back.
		m.writeDue = now.Add(writeWait)
		m.read(now, false)
	}
	m.Tick(now)
}

func (m *Machine) write(now time.Time, a oriole.Assignment) {
	m.writing = &a
	m.exact = false
	m.out = append(m.out, Effect{Write: &Write{Assignment: a, Expected: m.version}})
}

func (m *Machine) read(now time.Time, lag bool) {
	if m.reading {
		return
	}
	m.reading = true
	m.readDue = now.Add(pollWait)
	m.out = append(m.out, Effect{Read: &Read{Lag: lag}})
}

// keepRight has the store confirm in good time that this gateway still leads.
func (m *Machine) keepRight(now time.Time) {
	if now.Sub(m.confirmed) >= m.cfg.Right/4 && !m.readDue.After(now) && m.writing == nil {
		m.read(now, false)
		m.readDue = now.Add(min(pollWait, m.cfg.Right/8))
	}
}

// confirm takes that the store, asked at started, has named this gateway the
// leader.
func (m *Machine) confirm(now, started time.Time) {
	m.confirmed, m.took = started, now.Sub(started)
}
