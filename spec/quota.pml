/*
 * Two allocators divide a workspace's quota by demand (admission/quota, DemandView). Each
 * announces its demand under increasing numbers. Announcements and acknowledgements may be
 * lost, delayed, repeated and reordered. An allocator's share of the limit is u / (u + o):
 * u is its own demand as far as it may count it, o is the other's demand as last received.
 * The shares add up to at most the limit if and only if u0 * u1 <= o0 * o1.
 *
 * Faulty variants, in each of which the check must find a violation:
 *   NEWEST       own demand counts as last announced, acknowledged or not
 *   ACKED_ONLY   own demand counts as last acknowledged, ignoring later announcements
 *   OVERTAKEN    an announcement is applied after a newer one
 */
#ifndef ANNOUNCEMENTS
#define ANNOUNCEMENTS 4
#endif
#define MOST 2

typedef allocator {
	byte demand[ANNOUNCEMENTS + 1]; /* by number; 0 is "none yet" */
	bool sent[ANNOUNCEMENTS + 1];   /* in flight for good, as it may arrive repeatedly */
	bool returns[ANNOUNCEMENTS + 1]; /* its acknowledgement is in flight */
	byte newest;
	byte acknowledged;
	byte received; /* number of the other's announcement that is applied here */
}

allocator allocators[2];

inline usable(i, out) {
	out = allocators[i].demand[allocators[i].acknowledged];
#ifdef NEWEST
	out = allocators[i].demand[allocators[i].newest];
#else
#ifndef ACKED_ONLY
	for (n : 0 .. ANNOUNCEMENTS) {
		if
		:: n > allocators[i].acknowledged && n <= allocators[i].newest && allocators[i].demand[n] < out -> out = allocators[i].demand[n]
		:: else
		fi
	}
#endif
#endif
}

inline check() {
	usable(0, u0);
	usable(1, u1);
	o0 = allocators[1].demand[allocators[0].received];
	o1 = allocators[0].demand[allocators[1].received];
	assert(u0 * u1 <= o0 * o1);
	u0 = 0; u1 = 0; o0 = 0; o1 = 0; n = 0
}

active proctype network() {
	byte i, k, n, value, u0, u1, o0, o1;
	do
	:: atomic {
		select(i : 0 .. 1);
		if
		:: allocators[i].newest < ANNOUNCEMENTS ->
			select(value : 0 .. MOST);
			allocators[i].newest++;
			allocators[i].demand[allocators[i].newest] = value;
			allocators[i].sent[allocators[i].newest] = true
		:: else
		fi;
		value = 0; i = 0;
		check()
	}
	:: atomic {
		select(i : 0 .. 1);
		select(k : 1 .. ANNOUNCEMENTS);
		if
		:: allocators[i].sent[k] ->
			if
#ifdef OVERTAKEN
			:: true
#else
			:: k >= allocators[1 - i].received
#endif
				-> allocators[1 - i].received = k
			:: k < allocators[1 - i].received
			fi;
			allocators[i].returns[k] = true
		:: else
		fi;
		i = 0; k = 0;
		check()
	}
	:: atomic {
		select(i : 0 .. 1);
		select(k : 1 .. ANNOUNCEMENTS);
		if
		:: allocators[i].returns[k] && k > allocators[i].acknowledged -> allocators[i].acknowledged = k
		:: else
		fi;
		i = 0; k = 0;
		check()
	}
	od
}
