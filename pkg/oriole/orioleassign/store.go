package orioleassign

import (
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// ReadDone handles the result of a Read that was started at the given time.
func (m *Machine) ReadDone(now, started time.Time, a oriole.Assignment, version oriole.Version, stale bool, err error) {
	m.reading = false
	found := !errors.Is(err, oriole.ErrNotFound)
	switch {
	case found && err != nil:
		if !stale {
			m.recordFailedCall(now, started)
		}
		m.nextRead = m.readRetry(now)
		m.nextConfirm = now.Add(confirmRetryDelay)
		m.nextWrite = now.Add(writeRetryDelay)
		if m.leading {
			m.resignIfCutOff(now)
		}
		return
	}
	m.recordStoreResponse()
	if !stale {
		m.exactReadAt = started
	}
	switch {
	case !m.observeEra(now, version, stale):
		// The store was restored since.
	case !found:
		m.reconcileMissing(now, started, version, stale)
	default:
		m.reconcile(now, started, a, version, stale)
	}
	m.schedulePass(now)
}

// recordFailedCall records that a call to the store that was started at the given
// time has failed. Calls that ran at the same time count as one: what delayed or
// lost one response may have lost the other.
func (m *Machine) recordFailedCall(now, started time.Time) {
	if m.failedCalls > 0 && started.Before(m.callFailedAt) {
		return
	}
	if m.failedCalls == 0 {
		m.storeFailingSince = started
	}
	m.failedCalls++
	m.callFailedAt = now
}

// recordStoreResponse records that the store has responded.
func (m *Machine) recordStoreResponse() {
	m.storeFailingSince, m.failedCalls = time.Time{}, 0
}

// readRetry returns when the next read is due after a failed one. A leader's
// second call decides whether it resigns, and is due at once or when the first has
// failed for storeFailureTimeout.
func (m *Machine) readRetry(now time.Time) time.Time {
	if m.leading && m.failedCalls > 0 && m.failedCalls < storeFailureThreshold {
		return later(now, m.storeFailingSince.Add(storeFailureTimeout))
	}
	return now.Add(readRetryDelay)
}

// reconcileMissing handles a read that found no assignment.
func (m *Machine) reconcileMissing(now, started time.Time, version oriole.Version, stale bool) {
	switch {
	case stale:
	case m.leading && version.Era > m.version.Era:
		m.reconcileRestored(now, started, oriole.Assignment{}, version)
	case m.leading:
	case !m.hasCurrent || m.current.Term == 0:
		m.setCurrent(now, oriole.Assignment{Service: m.cfg.Service}, version, true)
	default:
		m.version, m.versionExact = version, true
	}
}

// reconcile compares an assignment that was read from the store with the
// current one.
func (m *Machine) reconcile(now, started time.Time, a oriole.Assignment, version oriole.Version, stale bool) {
	older := m.hasCurrent && (a.Term < m.current.Term || (a.Term == m.current.Term && a.Seq < m.current.Seq))
	switch {
	case stale && older:
		return
	case m.leading && version.Era > m.version.Era:
		if !stale {
			m.reconcileRestored(now, started, a, version)
		}
	case m.leading && version.Revision == 0:
		// The read is older than the write that settled the era.
	case !stale && older && version.Revision == 0:
		// The store was restored from a copy that is older than what this gateway
		// knows.
		m.version, m.versionExact = version, true
	case m.leading && a.Term == m.current.Term && a.Leader == m.cfg.Self:
		if !stale {
			m.confirmLeadership(started)
		}
		if version.Before(m.version) || (m.versionExact && version == m.version) {
			// Nothing has changed, or the read is older than a write that has
			// been answered meanwhile.
			return
		}
		// The result of a write whose response was lost is now known: it took
		// effect if the version has changed.
		if version != m.version {
			m.applyWrite(now, a, version)
		}
		m.versionExact = true
	case !m.leading && a.Leader == m.cfg.Self && !m.draining && !stale && version.Revision > 0 && m.resignedTerm != a.Term:
		// Either the response to the write that claimed the leadership was
		// lost, or this gateway has stepped down since and may have used the
		// fencing tokens.
		m.version, m.versionExact = version, true
		m.confirmLeadership(started)
		m.becomeLeader(now, a)
		for i := range m.leases {
			m.leases[i].fenceUnusable = true
		}
	default:
		m.setCurrent(now, a, version, !stale)
	}
}

// WriteDone handles the result of a Write that was started at the given time.
func (m *Machine) WriteDone(now, started time.Time, a oriole.Assignment, version oriole.Version, err error) {
	if p := m.pendingWrite; p == nil || p.Term != a.Term || p.Seq != a.Seq {
		// This gateway has stepped down since: what the write did is known once
		// the assignment is read again.
		return
	}
	m.pendingWrite = nil
	if m.draining {
		return
	}
	switch {
	case err == nil, errors.Is(err, oriole.ErrConflict), errors.Is(err, oriole.ErrRestored):
		m.recordStoreResponse()
	case !errors.Is(err, oriole.ErrBusy):
		m.recordFailedCall(now, started)
	}
	switch {
	case err == nil && m.hasCurrent && a.Term < m.current.Term:
		return
	case err == nil && !m.leading && version.Era < m.storeEra:
		// The claim was lost when the store was restored.
		m.startRead(now, false)
	case err == nil:
		m.confirmLeadership(started)
		switch {
		case m.leading && version == m.version:
			// A read has already shown that the write took effect.
			m.versionExact = true
		case m.leading && a.Term != m.current.Term:
			m.eraSettled(now, a, version)
		case m.leading:
			m.applyWrite(now, a, version)
		default:
			m.version, m.versionExact = version, true
			m.becomeLeader(now, a)
		}
	case errors.Is(err, oriole.ErrBusy):
		// The write had no effect.
		m.versionExact = true
		m.nextWrite = now.Add(writeRetryDelay)
		// A read shows whether the store refuses all calls.
		m.startRead(now, false)
	case errors.Is(err, oriole.ErrRestored):
		m.startRead(now, false)
	default:
		// The write may have taken effect, or another gateway has written: read
		// the result back.
		m.nextWrite = now.Add(writeRetryDelay)
		m.startRead(now, false)
	}
	m.schedulePass(now)
}

func (m *Machine) startWrite(now time.Time, a oriole.Assignment) {
	m.pendingWrite = &a
	m.writeStartedAt = now
	m.versionExact = false
	m.effects = append(m.effects, Effect{Write: &Write{Assignment: a, Expected: m.version}})
}

func (m *Machine) startRead(now time.Time, stale bool) {
	if m.reading {
		return
	}
	m.reading = true
	m.readStartedAt = now
	m.nextRead = now.Add(pollInterval)
	m.effects = append(m.effects, Effect{Read: &Read{AllowStale: stale}})
}

// renewLeadership reads the assignment in time to confirm that this gateway is
// still the leader, and again after a failed call.
func (m *Machine) renewLeadership(now time.Time) {
	due := now.Sub(m.confirmedAt) >= m.cfg.LeaderLease/4 || m.failedCalls > 0
	if due && !m.nextRead.After(now) && m.pendingWrite == nil {
		m.startRead(now, false)
		m.nextRead = now.Add(min(pollInterval, m.cfg.LeaderLease/8))
	}
}

// confirmLeadership records that the store has named this gateway the leader,
// in response to a call started at the given time.
func (m *Machine) confirmLeadership(started time.Time) {
	m.confirmedAt = started
}
