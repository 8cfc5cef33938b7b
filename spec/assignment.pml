/*
 * Model of the assignment of one range of keys: two servers that fence, two
 * gateways of which either may lead, and the platform's store.
 *
 * Time counts in lease spans on one clock; the margins for drift and flight are
 * the code's matter. Every step is atomic, and a party that does not step is
 * paused, cut off or dead. A write may be done at once, later or never, and its
 * answer may be lost: the gateway then knows no more than it reads back. A grant
 * is under way within the span in which it was sent.
 *
 * Each guard of the protocol can be left out with -DNO_<GUARD>; the model must
 * then fail. README.md lists the guards and the bounds.
 */

#ifndef T_MAX
#define T_MAX 4		/* lease spans that are searched */
#endif
#ifndef V_MAX
#define V_MAX 4		/* writes to the store that are searched */
#endif
#ifndef L_MAX
#define L_MAX 2		/* lives of a server that are searched */
#endif
#define RIGHT 1		/* spans for which a leader acts without the store's word */
#define NONE 3
#define OTHER(x) (1 - (x))

typedef Table {
	byte ver;	/* the store's version */
	byte term;
	byte leader;
	byte prior;	/* an earlier leader that may still renew, or NONE */
	byte owner;
	byte fence;
	byte giver	/* an earlier owner that may hold the range, or NONE */
};

typedef Gateway {
	bit leading;
	Table t;	/* the table that it acts on */
	bit pending;	/* a write may still be done */
	Table w;	/* what it writes; w.ver is the version that it expects */
	byte conf;	/* when the store last confirmed that it leads */
	byte sent0;	/* the last span in which a grant may have reached server 0 */
	byte sent1;
	bit tried;	/* a grant of the fence has left */
	byte conn;	/* the life that the fence's connection leads to */
	bit fly;	/* a grant is under way */
	byte flyTo;
	byte flyFence;
	byte flyLife	/* the life at the other end of its connection */
};

typedef Server {
	byte life;
	byte seen;	/* the highest fence seen in this life */
	bit held;
	byte fence;
	byte until	/* the last span of its lease */
};

Table store;
Gateway g[2];
Server s[2];
byte clk;
byte highest;		/* the highest fence that any life has held */
byte holder = NONE;	/* the server that held it */
byte holderLife;
bit known;		/* gateway 1 - store.leader has heard of the term */

#ifdef NO_GIVER
#define NO_GIVERS(i) true
#else
#define NO_GIVERS(i) (g[i].t.giver == NONE)
#endif
#ifdef NO_RIGHT
#define IN_RIGHT(i) true
#else
#define IN_RIGHT(i) (clk <= g[i].conf + RIGHT)
#endif
/* A fence goes on one connection, and is first used while the lead is sure. */
#ifdef NO_BIND
#define BOUND(i) true
#else
#define BOUND(i) ((g[i].tried && s[g[i].t.owner].life == g[i].conn) || (!g[i].tried && store.leader == i && store.term == g[i].t.term))
#endif
#ifdef NO_WAIT
#define WAITED(i) true
#else
#define WAITED(i) (clk > SENT(i, g[i].t.giver) + 1 && !(g[i].fly && g[i].flyTo == g[i].t.giver))
#endif

#define SENT(i, x) (x == 0 -> g[i].sent0 : g[i].sent1)

inline copy(to, from) {
	to.ver = from.ver; to.term = from.term; to.leader = from.leader; to.prior = from.prior;
	to.owner = from.owner; to.fence = from.fence; to.giver = from.giver
}

inline setSent(i, x, when) {
	if
	:: x == 0 -> g[i].sent0 = when
	:: else -> g[i].sent1 = when
	fi
}

/* begin makes gateway i act on a term that the store has confirmed. */
inline begin(i) {
	g[i].leading = 1;
	g[i].conf = clk;
	g[i].tried = 0;
#ifdef NO_HORIZON
	g[i].sent0 = clk; g[i].sent1 = clk;
#else
	g[i].sent0 = (g[i].t.prior == NONE -> clk : clk + RIGHT);
	g[i].sent1 = g[i].sent0;
#endif
}

/* deliver brings the grant that gateway i has under way to its server. */
inline deliver(i) {
	if
	:: s[g[i].flyTo].life != g[i].flyLife -> skip	/* its connection is gone */
	:: else ->
		if
#ifndef NO_FENCE
		:: s[g[i].flyTo].seen > g[i].flyFence -> skip
#else
		:: false -> skip
#endif
		:: else ->
			assert(!(s[OTHER(g[i].flyTo)].held && clk <= s[OTHER(g[i].flyTo)].until));
			assert((holder == g[i].flyTo && holderLife == g[i].flyLife) || g[i].flyFence > highest || holder == NONE);
			s[g[i].flyTo].seen = g[i].flyFence;
			s[g[i].flyTo].held = 1;
			s[g[i].flyTo].fence = g[i].flyFence;
			s[g[i].flyTo].until = clk + 1;
			holder = g[i].flyTo;
			holderLife = g[i].flyLife;
			highest = (g[i].flyFence > highest -> g[i].flyFence : highest)
		fi
	fi;
	g[i].fly = 0
}

proctype gateway(byte i) {
	do
	/* Take the lead: the fence grows, so that servers refuse the earlier one. */
	:: atomic { !g[i].leading && !g[i].pending && store.ver < V_MAX && store.leader != i ->
		copy(g[i].w, store);
		g[i].w.prior = (store.term == 0 -> NONE : store.leader);
		g[i].w.leader = i;
		g[i].w.term = store.term + 1;
#ifndef NO_REFENCE
		g[i].w.fence = store.fence + 1;
#endif
		g[i].pending = 1 }
	/* Move the range to the other server. */
	:: atomic { g[i].leading && !g[i].pending && g[i].t.giver == NONE && g[i].t.ver < V_MAX && clk <= g[i].conf + RIGHT ->
		copy(g[i].w, g[i].t);
		g[i].w.giver = g[i].t.owner;
		g[i].w.owner = OTHER(g[i].t.owner);
		g[i].w.fence = g[i].t.fence + 1;
		g[i].pending = 1 }
	/* The connection of the fence is gone: the same owner gets a new fence. */
	:: atomic { g[i].leading && !g[i].pending && g[i].tried && s[g[i].t.owner].life != g[i].conn && g[i].t.ver < V_MAX ->
		copy(g[i].w, g[i].t);
		g[i].w.fence = g[i].t.fence + 1;
		g[i].pending = 1 }
	/* The store does the write if its condition still holds. */
	:: atomic { g[i].pending && store.ver == g[i].w.ver ->
		g[i].pending = 0;
		copy(store, g[i].w);
		store.ver = store.ver + 1;
		known = (store.term != g[i].t.term -> 0 : known) }
	:: atomic { g[i].pending && store.ver != g[i].w.ver -> g[i].pending = 0 }
	/* Read back, after a write or to have the lead confirmed. */
	:: atomic { store.leader == i && store.term > 0 && (g[i].t.ver != store.ver || g[i].conf != clk || !g[i].leading) ->
		if
		:: !g[i].leading -> copy(g[i].t, store); begin(i)
		:: else ->
			if
			:: g[i].t.fence != store.fence -> g[i].tried = 0
			:: else -> skip
			fi;
			copy(g[i].t, store);
			g[i].conf = clk
		fi }
	/* Hear that the other leads: renew nothing any more, and tell it so. */
	:: atomic { store.leader != i && store.term > 0 && !known ->
		g[i].leading = 0;
		known = 1 }
	:: atomic { g[i].leading && known && store.leader == i && g[i].t.term == store.term && g[i].t.prior != NONE && !g[OTHER(i)].fly ->
		g[i].t.prior = NONE;
		g[i].sent0 = (g[i].sent0 > clk -> clk : g[i].sent0);
		g[i].sent1 = (g[i].sent1 > clk -> clk : g[i].sent1) }
	/* Grant or renew. */
	:: atomic { g[i].leading && !g[i].fly && NO_GIVERS(i) && IN_RIGHT(i) && BOUND(i) ->
		g[i].fly = 1;
		g[i].flyTo = g[i].t.owner;
		g[i].flyFence = g[i].t.fence;
		g[i].flyLife = s[g[i].t.owner].life;
		g[i].tried = 1;
		g[i].conn = g[i].flyLife;
		if
		:: SENT(i, g[i].t.owner) < clk -> setSent(i, g[i].t.owner, clk)
		:: else -> skip
		fi }
	:: atomic { g[i].fly -> deliver(i) }
	:: atomic { g[i].fly -> g[i].fly = 0 }
	/* Have the giver release: it answers when it holds nothing. */
	:: atomic { g[i].leading && g[i].t.giver != NONE ->
		s[g[i].t.giver].held = 0;
		if
		:: s[g[i].t.giver].seen < g[i].t.fence -> s[g[i].t.giver].seen = g[i].t.fence
		:: else -> skip
		fi;
		g[i].t.giver = NONE }
	/* The giver is silent: wait until every lease has run out. */
	:: atomic { g[i].leading && g[i].t.giver != NONE && WAITED(i) -> g[i].t.giver = NONE }
	od
}

proctype server(byte x) {
	do
	:: atomic { s[x].life < L_MAX ->
		s[x].life = s[x].life + 1;
		s[x].seen = 0;
		s[x].held = 0 }
	od
}

/* A span passes once no grant is under way. */
proctype clock() {
	do
	:: atomic { clk < T_MAX && !g[0].fly && !g[1].fly -> clk = clk + 1 }
	od
}

init {
	atomic {
		store.leader = NONE; store.prior = NONE; store.giver = NONE;
		g[0].t.giver = NONE; g[1].t.giver = NONE; g[0].t.prior = NONE; g[1].t.prior = NONE;
		run gateway(0); run gateway(1); run server(0); run server(1); run clock()
	}
}
