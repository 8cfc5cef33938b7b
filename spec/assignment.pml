/*
 * Model of the assignment of one range of keys: two servers that check fencing
 * tokens, two gateways of which either may be the leader, and the platform's
 * store.
 *
 * Time is counted in lease TTLs on one clock; the margins for clock drift and
 * message delay are left to the code. Every step is atomic, and a process that
 * takes no step is paused, partitioned or dead. A write may take effect at once,
 * later or never. A gateway learns the result only by reading the assignment, as
 * if all responses to writes were lost. A grant arrives within the TTL in which it
 * was sent, or never.
 *
 * Each guard of the protocol can be removed with -DNO_<GUARD>; the model must
 * then fail. README.md lists the guards and the bounds.
 */

#ifndef T_MAX
#define T_MAX 4		/* maximum number of lease TTLs */
#endif
#ifndef V_MAX
#define V_MAX 4		/* maximum number of writes to the store */
#endif
#ifndef L_MAX
#define L_MAX 2		/* maximum number of restarts of each server */
#endif
#define LEADER_LEASE 1		/* number of TTLs for which a leader may act after the store last confirmed its leadership */
#define NONE 3
#define OTHER(x) (1 - (x))

typedef Assignment {
	byte version;	/* the store's version */
	byte term;
	byte leader;
	byte priorLeader;	/* a prior leader that may still renew leases, or NONE */
	byte owner;
	byte fence;
	byte priorOwner	/* a prior owner that may still hold the range, or NONE */
};

typedef Gateway {
	bit leading;
	Assignment assignment;	/* the assignment that it acts on */
	bit writePending;	/* a write may still take effect */
	Assignment write;	/* the pending write; write.version is the expected version */
	byte confirmedAt;	/* when the store last confirmed its leadership */
	byte lastSent0;	/* the last TTL in which a grant may have reached server 0 */
	byte lastSent1;
	bit attempted;	/* a grant with this fencing token was sent */
	byte connIncarnation;	/* the incarnation at the other end of the fencing token's connection */
	bit inFlight;	/* a grant is in flight */
	byte grantTo;
	byte grantFence;
	byte grantIncarnation	/* the incarnation at the other end of its connection */
};

typedef Server {
	byte incarnation;
	byte seenFence;	/* the highest fencing token seen by this incarnation */
	bit held;
	byte fence;
	byte leaseUntil	/* the last TTL of its lease */
};

Assignment store;
Gateway g[2];
Server s[2];
byte clk;
byte highest;		/* the highest fencing token that any incarnation has held */
byte holder = NONE;	/* the server that accepted a grant last */
byte holderIncarnation;
bit termKnown;		/* the gateway other than store.leader has learned of the term */

#ifdef NO_GIVER
#define NO_PRIOR_OWNER(i) true
#else
#define NO_PRIOR_OWNER(i) (g[i].assignment.priorOwner == NONE)
#endif
#ifdef NO_RIGHT
#define LEADER_LEASE_VALID(i) true
#else
#define LEADER_LEASE_VALID(i) (clk <= g[i].confirmedAt + LEADER_LEASE)
#endif
/* A fencing token is sent on one connection only, and first used while the leadership is confirmed. */
#ifdef NO_BIND
#define BOUND(i) true
#else
#define BOUND(i) ((g[i].attempted && s[g[i].assignment.owner].incarnation == g[i].connIncarnation) || (!g[i].attempted && store.leader == i && store.term == g[i].assignment.term))
#endif
#ifdef NO_WAIT
#define LEASE_EXPIRED(i) true
#else
#define LEASE_EXPIRED(i) (clk > LAST_SENT(i, g[i].assignment.priorOwner) + 1 && !(g[i].inFlight && g[i].grantTo == g[i].assignment.priorOwner))
#endif

#define LAST_SENT(i, x) (x == 0 -> g[i].lastSent0 : g[i].lastSent1)

inline copy(to, from) {
	to.version = from.version; to.term = from.term; to.leader = from.leader; to.priorLeader = from.priorLeader;
	to.owner = from.owner; to.fence = from.fence; to.priorOwner = from.priorOwner
}

inline setLastSent(i, x, when) {
	if
	:: x == 0 -> g[i].lastSent0 = when
	:: else -> g[i].lastSent1 = when
	fi
}

/* becomeLeader makes gateway i the leader of a term that the store confirmed. */
inline becomeLeader(i) {
	g[i].leading = 1;
	g[i].confirmedAt = clk;
	g[i].attempted = 0;
#ifdef NO_HORIZON
	g[i].lastSent0 = clk; g[i].lastSent1 = clk;
#else
	g[i].lastSent0 = (g[i].assignment.priorLeader == NONE -> clk : clk + LEADER_LEASE);
	g[i].lastSent1 = g[i].lastSent0;
#endif
}

/* deliver delivers the grant that gateway i has in flight to its server. */
inline deliver(i) {
	if
	:: s[g[i].grantTo].incarnation != g[i].grantIncarnation -> skip	/* its connection is closed */
	:: else ->
		if
#ifndef NO_FENCE
		:: s[g[i].grantTo].seenFence > g[i].grantFence -> skip
#else
		:: false -> skip
#endif
		:: else ->
			assert(!(s[OTHER(g[i].grantTo)].held && clk <= s[OTHER(g[i].grantTo)].leaseUntil));
			assert((holder == g[i].grantTo && holderIncarnation == g[i].grantIncarnation) || g[i].grantFence > highest || holder == NONE);
			s[g[i].grantTo].seenFence = g[i].grantFence;
			s[g[i].grantTo].held = 1;
			s[g[i].grantTo].fence = g[i].grantFence;
			s[g[i].grantTo].leaseUntil = clk + 1;
			holder = g[i].grantTo;
			holderIncarnation = g[i].grantIncarnation;
			highest = (g[i].grantFence > highest -> g[i].grantFence : highest)
		fi
	fi;
	g[i].inFlight = 0
}

proctype gateway(byte i) {
	do
	/* Claim the leadership with a higher fencing token, so that servers refuse the old one. */
	:: atomic { !g[i].leading && !g[i].writePending && store.version < V_MAX && store.leader != i ->
		copy(g[i].write, store);
		g[i].write.priorLeader = (store.term == 0 -> NONE : store.leader);
		g[i].write.leader = i;
		g[i].write.term = store.term + 1;
#ifndef NO_REFENCE
		g[i].write.fence = store.fence + 1;
#endif
		g[i].writePending = 1 }
	/* Move the range to the other server. */
	:: atomic { g[i].leading && !g[i].writePending && g[i].assignment.priorOwner == NONE && g[i].assignment.version < V_MAX && clk <= g[i].confirmedAt + LEADER_LEASE ->
		copy(g[i].write, g[i].assignment);
		g[i].write.priorOwner = g[i].assignment.owner;
		g[i].write.owner = OTHER(g[i].assignment.owner);
		g[i].write.fence = g[i].assignment.fence + 1;
		g[i].writePending = 1 }
	/* The fencing token's connection is closed: the same owner gets a new fencing token. */
	:: atomic { g[i].leading && !g[i].writePending && g[i].attempted && s[g[i].assignment.owner].incarnation != g[i].connIncarnation && g[i].assignment.version < V_MAX ->
		copy(g[i].write, g[i].assignment);
		g[i].write.fence = g[i].assignment.fence + 1;
		g[i].writePending = 1 }
	/* The store applies the write if it has the expected version. */
	:: atomic { g[i].writePending && store.version == g[i].write.version ->
		g[i].writePending = 0;
		copy(store, g[i].write);
		store.version = store.version + 1;
		termKnown = (store.term != g[i].assignment.term -> 0 : termKnown) }
	:: atomic { g[i].writePending && store.version != g[i].write.version -> g[i].writePending = 0 }
	/* Read the assignment, after a write or to confirm the leadership. */
	:: atomic { store.leader == i && store.term > 0 && (g[i].assignment.version != store.version || g[i].confirmedAt != clk || !g[i].leading) ->
		if
		:: !g[i].leading -> copy(g[i].assignment, store); becomeLeader(i)
		:: else ->
			if
			:: g[i].assignment.fence != store.fence -> g[i].attempted = 0
			:: else -> skip
			fi;
			copy(g[i].assignment, store);
			g[i].confirmedAt = clk
		fi }
	/* Learn that the other gateway leads: stop renewing leases, and report this to it. */
	:: atomic { store.leader != i && store.term > 0 && !termKnown ->
		g[i].leading = 0;
		termKnown = 1 }
	:: atomic { g[i].leading && termKnown && store.leader == i && g[i].assignment.term == store.term && g[i].assignment.priorLeader != NONE && !g[OTHER(i)].inFlight ->
		g[i].assignment.priorLeader = NONE;
		g[i].lastSent0 = (g[i].lastSent0 > clk -> clk : g[i].lastSent0);
		g[i].lastSent1 = (g[i].lastSent1 > clk -> clk : g[i].lastSent1) }
	/* Grant or renew the lease. */
	:: atomic { g[i].leading && !g[i].inFlight && NO_PRIOR_OWNER(i) && LEADER_LEASE_VALID(i) && BOUND(i) ->
		g[i].inFlight = 1;
		g[i].grantTo = g[i].assignment.owner;
		g[i].grantFence = g[i].assignment.fence;
		g[i].grantIncarnation = s[g[i].assignment.owner].incarnation;
		g[i].attempted = 1;
		g[i].connIncarnation = g[i].grantIncarnation;
		if
		:: LAST_SENT(i, g[i].assignment.owner) < clk -> setLastSent(i, g[i].assignment.owner, clk)
		:: else -> skip
		fi }
	:: atomic { g[i].inFlight -> deliver(i) }
	:: atomic { g[i].inFlight -> g[i].inFlight = 0 }
	/* The prior owner releases the range, and the gateway receives its response. */
	:: atomic { g[i].leading && g[i].assignment.priorOwner != NONE ->
		s[g[i].assignment.priorOwner].held = 0;
		if
		:: s[g[i].assignment.priorOwner].seenFence < g[i].assignment.fence -> s[g[i].assignment.priorOwner].seenFence = g[i].assignment.fence
		:: else -> skip
		fi;
		g[i].assignment.priorOwner = NONE }
	/* The prior owner does not respond: wait until its lease has expired. */
	:: atomic { g[i].leading && g[i].assignment.priorOwner != NONE && LEASE_EXPIRED(i) -> g[i].assignment.priorOwner = NONE }
	od
}

proctype server(byte x) {
	do
	:: atomic { s[x].incarnation < L_MAX ->
		s[x].incarnation = s[x].incarnation + 1;
		s[x].seenFence = 0;
		s[x].held = 0 }
	od
}

/* A TTL passes only when no grant is in flight, since a grant arrives within its TTL or never. */
proctype clock() {
	do
	:: atomic { clk < T_MAX && !g[0].inFlight && !g[1].inFlight -> clk = clk + 1 }
	od
}

init {
	atomic {
		store.leader = NONE; store.priorLeader = NONE; store.priorOwner = NONE;
		g[0].assignment.priorOwner = NONE; g[1].assignment.priorOwner = NONE; g[0].assignment.priorLeader = NONE; g[1].assignment.priorLeader = NONE;
		run gateway(0); run gateway(1); run server(0); run server(1); run clock()
	}
}
