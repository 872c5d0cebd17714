/* One call that must not be repeated (idempotency/). Its caller may send it again to
 * other entry VMs at any time; each sending is an attempt. Attempts claim the call's key
 * in the log. A claim may be logged late, twice (if the answer of the append was lost),
 * or after its attempt is over. An entry VM may freeze for any time between any two steps,
 * and may die.
 *
 * Properties:
 *   - the call runs at most once;
 *   - an attempt that was answered "not run" never ran and never will;
 *   - unless ATTEMPT_ONLY is set, the same for the whole call: when "not run" is
 *     answered, no attempt has run, and no attempt that began earlier will. A caller
 *     that got no answer to its first attempt and "not run" to its second may then
 *     book elsewhere. An attempt that begins later is a new decision of the caller.
 *     With SEQUENTIAL the caller abandons an attempt before it begins the next, and
 *     the answer to an abandoned attempt doesn't reach it.
 *
 * With ASK_PEERS an attempt that is disconnected from the log answers "not run" if no
 * other entry VM can have dispatched the call, otherwise "may have run".
 *
 * Faulty variants, in each of which the check must find a violation:
 *   LOCAL_TABLE       each entry VM knows only the keys that it received itself
 *   NO_READ_BACK      an appended claim counts as won without reading it back
 *   DISPATCH_AGAIN    the second log entry of a claim dispatches the call again
 *   RELEASE_TIMEOUT   other VMs release the claim of an unresponsive holder
 *   RELEASE_UNKNOWN   a call whose answer was lost after it was sent is released
 *   WINDOW_ENDS       the key is forgotten while the caller still retries
 * and these, which satisfy the first two properties and violate the third:
 *   NO_IN_OUTAGE      "not run" is answered while the log can't be read or written
 *   RELEASE_FIRST     the release takes effect before the caller is answered "not run"
 *   REOPENED          a claim wins after a release that its attempt had not seen
 *   SEEN_AT_CLAIM     an attempt that waited for another attempt's claim, and sees it
 *                     released, claims again like an attempt that begins now
 *   UNDER_WAY_UNSAID  a peer that has the same call in progress answers "not claimed"
 *   ASK_PRESENT       only the processes that live now are asked, not those that
 *                     lived when this one last read the log to its end
 */
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef COPIES
#define COPIES 2 /* log entries of one claim: the first and one retry */
#endif

#define BIT(n) (1 << (n))

/* The state machine that applies the claims stream. */
byte holder;   /* 1 + the attempt whose claim holds the key, 0: free */
byte released; /* set of attempts whose claims were released */
byte releases; /* number of releases that took effect */

/* An attempt: its phase, whether its process is dead, how often its claim is in the log,
 * and the verdict of the claim's first entry. */
#define NOT_BEGUN  0
#define CLAIMING   1
#define DISPATCHED 2
#define OVER       3 /* will never dispatch */
byte phase[ATTEMPTS];
bool dead[ATTEMPTS];
byte landed[ATTEMPTS];
byte seen[ATTEMPTS]; /* releases that its VM had applied when the attempt arrived */

#define NO_VERDICT 0
#define WON        1
#define LOST       2 /* the key was held, or the claim was made before a release that it had not seen */
byte verdict[ATTEMPTS];
byte won_again; /* set of attempts that held the key when their claim's second entry was applied */

/* Bookkeeping for the properties. */
byte runs;
byte told_no;  /* set of attempts answered "not run" */
byte must_not; /* set of attempts that must not run any more */

byte newest_begun; /* 1 + the attempt that began last */
#ifdef SEQUENTIAL
#define HEARD(i) (newest_begun == (i) + 1)
#define MAY_BEGIN(i) (newest_begun == (i))
#else
#define HEARD(i) true
#define MAY_BEGIN(i) true
#endif

#ifdef ASK_PEERS
/* How far each process has applied the stream. A read reaches the end of the log, or
 * fails. */
#define ENTRIES (ATTEMPTS * (COPIES + 1))
byte end;
bool held_after[ENTRIES + 1];
byte applied[ATTEMPTS];
byte won_at[ATTEMPTS];    /* position of the claim that won */
byte lived[ATTEMPTS];     /* set of processes that lived when it read to the end */
byte answered[ATTEMPTS];  /* set of processes that cleared its question */
#define next_entry() end++; held_after[end] = holder != 0
#define KNOWS_WON(i) (verdict[i] == WON && applied[i] >= won_at[i])
#else
#define next_entry() skip
#define KNOWS_WON(i) (verdict[i] == WON)
#endif

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
	assert(runs == 0 || !HEARD(i));
	must_not = must_not | (HEARD(i) -> BEGUN(0) | BEGUN(1) : 0);
#if ATTEMPTS > 2
	must_not = must_not | (HEARD(i) -> BEGUN(2) : 0);
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
#ifdef ASK_PEERS
		won_at[i] = (verdict[i] == NO_VERDICT -> end + 1 : won_at[i]);
#endif
		verdict[i] = (verdict[i] == NO_VERDICT -> WON : verdict[i])
	:: else ->
		won_again = (holder == i + 1 -> won_again | BIT(i) : won_again);
		verdict[i] = (verdict[i] == NO_VERDICT -> LOST : verdict[i])
	fi;
	next_entry()
}

/* A Release takes effect only if its own claim holds the key. */
inline land_release(i) {
	holder = 0;
	released = released | BIT(i);
	releases++;
	next_entry()
}

#define ACTS(i, in_phase) (phase[i] == in_phase && !dead[i])

#ifdef ASK_PEERS
#define LIVES(i) (dead[i] -> 0 : BIT(i))
#if ATTEMPTS > 2
#define ALIVE (LIVES(0) | LIVES(1) | LIVES(2))
#else
#define ALIVE (LIVES(0) | LIVES(1))
#endif
#ifdef ASK_PRESENT
#define TO_ASK(i) ALIVE
#else
#define TO_ASK(i) lived[i]
#endif
#ifdef UNDER_WAY_UNSAID
#define UNDER_WAY(j) false
#else
#define UNDER_WAY(j) (phase[j] == CLAIMING)
#endif
/* Process j answers that it can't have dispatched the call by a claim that i has not
 * applied. */
#define CLEARS(j, i) (!dead[j] && applied[j] <= applied[i] && !held_after[applied[j]] && !UNDER_WAY(j))
#endif

proctype Attempt(byte i) {
	byte view;
	do
	/* The caller's request arrives. The VM's view of the stream may be behind. */
	:: atomic { phase[i] == NOT_BEGUN && !dead[i] && MAY_BEGIN(i) ->
		select(view : 0 .. releases);
		seen[i] = view;
		view = 0;
		newest_begun = i + 1;
		phase[i] = CLAIMING }
	/* The log stores the claim, now or much later. */
	:: d_step { phase[i] != NOT_BEGUN && landed[i] < COPIES -> land_claim(i) }
	:: d_step { !dead[i] -> dead[i] = true }

	/* Won: send the call, which counts as run whatever its outcome. */
	:: d_step { ACTS(i, CLAIMING) && KNOWS_WON(i) -> phase[i] = DISPATCHED; run_call(i) }
	/* Or find that the call can't be sent, answer "not run", and then release the key. */
#ifdef RELEASE_FIRST
	:: d_step { ACTS(i, CLAIMING) && KNOWS_WON(i) -> phase[i] = OVER }
	:: d_step { ACTS(i, OVER) && (released & BIT(i)) -> say_not_run(i) }
#else
	:: d_step { ACTS(i, CLAIMING) && KNOWS_WON(i) -> say_not_run(i); phase[i] = OVER }
#endif
	/* Lost, or no verdict in time (the log is unreachable): the answer is "may have
	 * run". The claim may still take effect and win; then it is released. */
	:: d_step { ACTS(i, CLAIMING) && verdict[i] == LOST -> phase[i] = OVER }
#ifdef SEEN_AT_CLAIM
	:: d_step { ACTS(i, CLAIMING) && verdict[i] == LOST && holder == 0 ->
		verdict[i] = NO_VERDICT; landed[i] = 0; seen[i] = releases }
#endif
#ifdef NO_IN_OUTAGE
	:: d_step { ACTS(i, CLAIMING) && verdict[i] == NO_VERDICT -> say_not_run(i); phase[i] = OVER }
#endif
	:: d_step { ACTS(i, CLAIMING) -> phase[i] = OVER }
#ifdef ASK_PEERS
	:: d_step { !dead[i] && applied[i] < end -> applied[i] = end; lived[i] = ALIVE; answered[i] = 0 }
	:: d_step { ACTS(i, CLAIMING) && !(answered[i] & BIT(0)) && CLEARS(0, i) -> answered[i] = answered[i] | BIT(0) }
	:: d_step { ACTS(i, CLAIMING) && !(answered[i] & BIT(1)) && CLEARS(1, i) -> answered[i] = answered[i] | BIT(1) }
#if ATTEMPTS > 2
	:: d_step { ACTS(i, CLAIMING) && !(answered[i] & BIT(2)) && CLEARS(2, i) -> answered[i] = answered[i] | BIT(2) }
#endif
	:: d_step { ACTS(i, CLAIMING) && !held_after[applied[i]] && !(TO_ASK(i) & ~answered[i] & ~BIT(i)) ->
		say_not_run(i); phase[i] = OVER }
#endif
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
#ifdef ASK_PEERS
			lived[i] = BIT(ATTEMPTS) - 1;
#endif
			run Attempt(i)
		}
		i = 0
	}
}
