/* One call that may not be repeated (idempotency/). Its caller sends it again, to
 * other entry VMs, whenever it likes: each sending is an attempt. Attempts claim
 * the call's key in the log; a claim may land late, twice (the answer of the
 * append was lost), or after its attempt is over; an entry VM may stop for any
 * time between any two steps, and may die.
 *
 * Properties:
 *   - the call runs at most once;
 *   - an attempt that was answered "not run" never ran and never will;
 *   - unless ATTEMPT_ONLY is set, the same of the whole call: when "not run" is
 *     said, no attempt has run, and none that had begun by then will. A caller
 *     that got no answer to its first attempt and "not run" to its second may then
 *     book elsewhere. An attempt that begins later is the caller's own new try.
 *
 * Naive variants, each of which must be found broken:
 *   LOCAL_TABLE       each entry VM remembers only the keys that it saw itself
 *   NO_READ_BACK      an appended claim is taken for a won one
 *   DISPATCH_AGAIN    a second landing of a claim dispatches a second time
 *   RELEASE_TIMEOUT   others release the claim of a holder that is silent
 *   RELEASE_UNKNOWN   a call whose answer was lost after it was sent is released
 *   WINDOW_ENDS       the key is forgotten while the caller still tries
 * and these, which keep the first two properties and break the third:
 *   NO_IN_OUTAGE      "not run" is said where the log can't be read or written
 *   RELEASE_FIRST     the release lands before the caller is told "not run"
 *   REOPENED          a claim lands after a release that its attempt had not seen
 */
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#define COPIES 2 /* landings of one claim: the first and one retry */

#define BIT(n) (1 << (n))

/* The fold of the claims stream. */
byte holder;   /* 1 + the attempt whose claim holds the key, 0: free */
byte released; /* set of attempts whose claims were released */
byte releases; /* how many releases have landed */

/* An attempt: where it is, whether its process is dead, how often its claim
 * landed, and the verdict of the first landing. */
#define NOT_BEGUN  0
#define CLAIMING   1
#define DISPATCHED 2
#define OVER       3 /* will never dispatch */
byte phase[ATTEMPTS];
bool dead[ATTEMPTS];
byte landed[ATTEMPTS];
byte seen[ATTEMPTS]; /* releases that its VM had folded when the attempt arrived */

#define NO_VERDICT 0
#define WON        1
#define LOST       2 /* taken, or made before a release that it had not seen */
byte verdict[ATTEMPTS];
byte won_again; /* set of attempts whose claim was folded as held at its second landing */

/* For the properties. */
byte runs;
byte told_no;  /* set of attempts answered "not run" */
byte must_not; /* set of attempts that may not run any more */

inline run_call(i) {
	runs++;
	assert(runs <= 1);
	assert(!(told_no & BIT(i)));
#ifndef ATTEMPT_ONLY
	assert(!(must_not & BIT(i)))
#endif
}

#define BEGUN(i) (phase[i] == NOT_BEGUN -> 0 : BIT(i))
inline say_not_run(i) {
	assert(phase[i] != DISPATCHED);
#ifndef ATTEMPT_ONLY
	assert(runs == 0);
	must_not = must_not | BEGUN(0) | BEGUN(1);
#if ATTEMPTS > 2
	must_not = must_not | BEGUN(2);
#endif
#if ATTEMPTS > 3
	must_not = must_not | BEGUN(3);
#endif
#endif
	told_no = told_no | BIT(i)
}

#ifdef REOPENED
#define SEEN_ALL(i) true
#else
#define SEEN_ALL(i) (seen[i] == releases)
#endif
#define KEY_FREE_FOR(i) (holder == 0 && !(released & BIT(i)) && SEEN_ALL(i))

inline land_claim(i) {
	landed[i]++;
	if
	:: KEY_FREE_FOR(i) ->
		holder = i + 1;
		verdict[i] = (verdict[i] == NO_VERDICT -> WON : verdict[i])
	:: else ->
		won_again = (holder == i + 1 -> won_again | BIT(i) : won_again);
		verdict[i] = (verdict[i] == NO_VERDICT -> LOST : verdict[i])
	fi
}

/* A Release lands only if its own claim holds the key. */
inline land_release(i) {
	holder = 0;
	released = released | BIT(i);
	releases++
}

#define ACTS(i, in_phase) (phase[i] == in_phase && !dead[i])

proctype Attempt(byte i) {
	byte view;
	do
	/* The caller's request arrives; the VM's view of the stream may lag. */
	:: atomic { phase[i] == NOT_BEGUN ->
		select(view : 0 .. releases);
		seen[i] = view;
		view = 0;
		phase[i] = CLAIMING }
	/* The log stores the claim, now or much later. */
	:: d_step { phase[i] != NOT_BEGUN && landed[i] < COPIES -> land_claim(i) }
	:: d_step { !dead[i] && phase[i] != NOT_BEGUN -> dead[i] = true }

	/* Won: send the call, which counts as run whatever comes of it ... */
	:: d_step { ACTS(i, CLAIMING) && verdict[i] == WON -> phase[i] = DISPATCHED; run_call(i) }
	/* ... or find that it can't be sent, say so, and release the key after that. */
#ifdef RELEASE_FIRST
	:: d_step { ACTS(i, CLAIMING) && verdict[i] == WON -> phase[i] = OVER }
	:: d_step { ACTS(i, OVER) && (released & BIT(i)) -> say_not_run(i) }
#else
	:: d_step { ACTS(i, CLAIMING) && verdict[i] == WON -> say_not_run(i); phase[i] = OVER }
#endif
	/* Lost, or no verdict in time (the log is out of reach): the answer is "may
	 * have run". The claim may still land and win; then it is released. */
	:: d_step { ACTS(i, CLAIMING) && verdict[i] == LOST -> phase[i] = OVER }
#ifdef NO_IN_OUTAGE
	:: d_step { ACTS(i, CLAIMING) && verdict[i] == NO_VERDICT -> say_not_run(i); phase[i] = OVER }
#endif
	:: d_step { ACTS(i, CLAIMING) -> phase[i] = OVER }
	:: d_step { phase[i] == OVER && holder == i + 1 -> land_release(i) }

#ifdef LOCAL_TABLE
	:: d_step { ACTS(i, CLAIMING) -> phase[i] = DISPATCHED; run_call(i) }
#endif
#ifdef NO_READ_BACK
	:: d_step { ACTS(i, CLAIMING) && landed[i] > 0 -> phase[i] = DISPATCHED; run_call(i) }
#endif
#ifdef DISPATCH_AGAIN
	:: d_step { ACTS(i, DISPATCHED) && (won_again & BIT(i)) -> won_again = won_again & ~BIT(i); run_call(i) }
#endif
#ifdef RELEASE_TIMEOUT
	:: d_step { holder == i + 1 -> land_release(i) }
#endif
#ifdef RELEASE_UNKNOWN
	:: d_step { ACTS(i, DISPATCHED) && holder == i + 1 -> land_release(i) }
#endif
#ifdef WINDOW_ENDS
	:: d_step { holder == i + 1 -> holder = 0 }
#endif
	od
}

init {
	byte i;
	atomic {
		for (i : 0 .. ATTEMPTS - 1) {
			run Attempt(i)
		}
		i = 0
	}
}
