/* What an engine holds that restarts under the same ID (internal/hosted:
 * keeperrestarts.go, keeperorders.go). Each order names the number of orders that the
 * engine must have accepted before it. An order without an answer may be lost, may have
 * been carried out, or may be carried out at any later time, also by the next start of the
 * engine, which holds nothing and counts from 0. The keeper notices a start only when it
 * asks the engine. It forgets an order without an answer only when it asks the engine and
 * the order can't arrive any more (the code uses a timeout, the model reads the state of
 * the network).
 *
 * Property: the engine never holds more than its capacity ("overfull").
 *
 * Faulty variants, in each of which the check must find a violation:
 *   NO_COUNT   orders don't name the count before them
 *   NO_ROOM    the keeper reserves no room in the next start for loads without an answer
 *   NO_CHAIN   loads without an answer may wait for any number of counts
 *   FORGET_EARLY  loads without an answer are forgotten without asking the engine, which
 *              may have restarted and carried them out
 *   SEND_ON    a load that is refused because of another order is sent again with the
 *              new count, without checking what the engine holds
 * WITNESS shows that the next start is filled ("filled_again").
 */
#ifndef CAPACITY
#define CAPACITY 2
#endif
#ifndef COUNTS
#define COUNTS 5 /* a start accepts COUNTS - 1 orders */
#endif
#ifndef STARTS
#define STARTS 2
#endif

/* The engine. */
byte start = 0;
byte count = 0;
byte held = 0;

/* The network: loads and unloads that may still arrive, indexed by the count they name. */
bool load_out[COUNTS];
bool unload_out[COUNTS];

/* The keeper. */
byte known_start = 0;
byte known_count = 0;
byte known_held = 0;
bool known = true;
bool noted[COUNTS];       /* whether a load without an answer names this count */
byte noted_start[COUNTS]; /* the newest start that such a load was for */

inline carry_out_load() {
	held++;
	count++;
	assert(held <= CAPACITY /* overfull */);
#ifdef WITNESS
	assert(start == 0 || held < CAPACITY /* filled_again */);
#endif
}

inline carry_out_unload() {
	if :: held > 0 -> held-- :: else fi;
	count++
}

/* Late orders are carried out if their count matches, or dropped. */
active proctype network() {
	byte k;
	do
	:: atomic {
		select(k : 0 .. (COUNTS - 1));
		if
#ifdef NO_COUNT
		:: load_out[k] && count < COUNTS - 1 -> load_out[k] = false; carry_out_load()
#else
		:: load_out[k] && count == k && count < COUNTS - 1 -> load_out[k] = false; carry_out_load()
#endif
		:: unload_out[k] && count == k && count < COUNTS - 1 -> unload_out[k] = false; carry_out_unload()
		:: load_out[k] -> load_out[k] = false
		:: unload_out[k] -> unload_out[k] = false
		:: else
		fi;
		k = 0
	}
	od
}

/* The engine stops and starts again. */
active proctype restarts() {
	do
	:: start < STARTS - 1 -> atomic { start++; count = 0; held = 0 }
	od
}

/* Computes the room that loads for earlier starts may still take, and the number of loads
 * that wait for another count. */
inline look_at_noted() {
	reserved = 0;
	waiting = 0;
	k = 0;
	do
	:: k < COUNTS ->
		if
		:: noted[k] ->
			if :: noted_start[k] != known_start && k >= known_count -> reserved++ :: else fi;
			if :: k != known_count -> waiting++ :: else fi
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

/* Forgets the loads that can't arrive any more. */
inline forget_what_is_over() {
	k = 0;
	do
	:: k < COUNTS ->
		if
		:: noted[k] && !load_out[k] -> noted[k] = false
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

active proctype keeper() {
	byte k;
	byte reserved;
	byte waiting;
	bool fits;
	do
	/* Asks the engine. */
	:: !known -> atomic {
		known_start = start;
		known_count = count;
		known_held = held;
		known = true;
#ifndef FORGET_EARLY
		forget_what_is_over()
#endif
	}
#ifdef FORGET_EARLY
	:: atomic { forget_what_is_over() }
#endif
	/* Asks at any other time. */
	:: known -> known = false
	/* Sends a load. */
	:: known && known_count < COUNTS - 1 -> atomic {
		look_at_noted();
		fits = known_held < CAPACITY;
#ifndef NO_ROOM
		fits = fits && known_held + reserved < CAPACITY;
#endif
#ifndef NO_CHAIN
		fits = fits && (waiting == 0 || waiting + 1 <= CAPACITY);
#endif
		if
		:: !fits
		/* Answered. */
		:: fits && count == known_count -> carry_out_load(); known_held++; known_count++
		:: fits && count != known_count ->
#ifdef SEND_ON
			if :: count < COUNTS - 1 -> carry_out_load() :: else fi;
#endif
			known = false
		/* Not answered: lost, in flight, or carried out. */
		:: fits -> load_out[known_count] = true; noted[known_count] = true; noted_start[known_count] = known_start; known = false
		:: fits && count == known_count ->
			noted[known_count] = true; noted_start[known_count] = known_start; known = false; carry_out_load()
		fi
	}
	/* Sends an unload. */
	:: known && known_held > 0 && known_count < COUNTS - 1 -> atomic {
		if
		:: count == known_count -> carry_out_unload(); known_held--; known_count++
		:: count != known_count -> known = false
		:: unload_out[known_count] = true; known = false
		fi
	}
	od
}
